/*
 * Configuration: an applied change is never lost, and the revision of a process never decreases.
 *
 * Two operators each update the head, based on the revision that they have read. Two processes follow the head by reads,
 * whose results may arrive late and out of order, and by what a peer holds. The response to a write may be lost, whether
 * or not the write took effect.
 *
 *   Operator: write      applyConfiguration, writeHead    store/src/apply.ts
 *   Operator: resolve    resolveOutcome, outcomeIn        store/src/apply.ts
 *   Follower: update     Catalog.update                   store/src/catalog.ts
 */
#ifndef FAULTS
#define FAULTS 2
#endif
#define REVISIONS 5

byte head = 1;
byte owner[REVISIONS] = 0;    /* the operator whose change each revision is, as listed in the head's recent changes */
byte held[2] = 1;
byte faults = FAULTS;
byte ended = 0;
mtype = { silent, applied, conflict, unsettled }
mtype told[3] = silent;
byte revision_of[3];

proctype Operator(byte me) {
  byte base = 0;
  byte tries = 0;
  atomic { base = head; revision_of[me] = base + 1 }
write:
  if
#ifdef NO_CAS
  :: atomic { head = base + 1; owner[base + 1] = me; told[me] = applied; goto out }
#else
  :: atomic { head == base -> head = base + 1; owner[base + 1] = me; told[me] = applied; goto out }
  :: atomic { head != base -> skip }
#endif
  :: atomic { head == base && faults > 0 -> faults--; head = base + 1; owner[base + 1] = me }
  :: atomic { faults > 0 -> faults-- }
  fi;
#ifdef NO_READBACK
  told[me] = conflict; goto out;
#endif
  if                                           /* resolve the outcome by reading the head back */
  :: atomic { head > base && owner[base + 1] == me -> told[me] = applied }
  :: atomic { head > base && owner[base + 1] != me -> told[me] = conflict }
  :: atomic { head == base && tries < 1 -> tries++; goto write }
  :: atomic { head == base && tries >= 1 -> told[me] = unsettled }
  fi;
out:
  atomic { ended++ }
}

proctype Follower(byte me) {
  byte read;
  byte before;
  byte rounds = 0;
  do
  :: rounds < 3 ->
     rounds++;
     if
     :: read = head                            /* from the store, or from a late event */
     :: read = held[1 - me]                    /* from a peer */
     fi;
     before = held[me];
#ifdef NO_MONOTONE
     held[me] = read;
#else
     if
     :: atomic { read > held[me] -> held[me] = read }
     :: else
     fi;
#endif
     assert(held[me] >= before)
  :: rounds == 3 -> break
  od
}

init {
  byte me = 1;
  atomic { run Operator(1); run Operator(2); run Follower(0); run Follower(1) }
  (ended == 2);
  do
  :: me <= 2 ->
     assert(told[me] != applied || owner[revision_of[me]] == me);
     assert(told[me] != conflict || owner[revision_of[me]] != me);
     me++
  :: else -> break
  od
}
