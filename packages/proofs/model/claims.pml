/*
 * Claims: at most once, and "not run" only where it is proved.
 *
 * One key, two tries through two entries, two side processes. Every step of a try and of a run is its own, so any
 * process may be paused between any two. Faults are bounded by FAULTS: a side process dies, a write's answer is
 * lost (whether or not it took effect), the store is down for a call, an answer to an entry is lost, a backend
 * server's answer is lost.
 *
 *   Try: read, cas        Claims.bind            platform/src/claims.ts
 *   Try: rebind           Claims.rebind          platform/src/claims.ts
 *   Try: ask              Dispatch.#ask          daemon/src/entry/dispatch.ts
 *   Try: confirm          Dispatch.#confirm      daemon/src/entry/dispatch.ts
 *   Run                   Executions.run         daemon/src/side/executions.ts
 *
 * Not here: epochs, and the caller's word that a try is its first.
 */
#ifndef FAULTS
#define FAULTS 1
#endif
#define SIDES 2
#define TRIES 2
#define NONCES 5          /* 0 is "no claim"; each try may bind twice */

mtype = { fresh, running, refused, done, doubtful }
mtype = { silent, ran, not_run, unknown }

byte claim = 0;           /* the nonce in the store */
byte side_of[NONCES];     /* which side process a nonce is bound to */
mtype record[NONCES] = fresh;
bool alive[SIDES] = true;
byte executions = 0;
byte faults = FAULTS;
mtype told[TRIES] = silent;
byte runs = 0;            /* Run processes at work */
byte ended = 0;
mtype reply[TRIES] = silent;
byte asked[TRIES];       /* the binding that a try waits for an answer from */

proctype Run(byte n; byte t) {
  byte s = side_of[n];
  atomic {
    if
    :: !alive[s] -> reply[t] = unknown; goto out
    :: else
    fi;
#ifndef NO_RECORD
    if
    :: record[n] == refused -> goto tell
    :: record[n] == done -> goto tell
    :: record[n] == doubtful -> goto tell
    :: record[n] == running -> goto join
    :: record[n] == fresh -> record[n] = running
    fi
#endif
  }
  if
  :: atomic { alive[s] -> record[n] = refused; goto tell }
  :: atomic { alive[s] -> skip }
  :: atomic { !alive[s] -> goto tell }
  fi;
  atomic {                /* sent, so it runs, also if the sender is gone by now */
    executions++;
    assert(executions <= 1)
  }
  if
  :: atomic { alive[s] -> record[n] = done; goto tell }
  :: atomic { alive[s] && faults > 0 -> faults--; record[n] = doubtful; goto tell }
  :: atomic { !alive[s] -> goto tell }
  fi;
join:
  atomic { record[n] != running || !alive[s] -> goto tell };
tell:
  atomic {                /* heard only by the exchange that waits for it */
    if
    :: asked[t] != n -> skip
    :: else ->
       if
       :: alive[s] && record[n] == done -> reply[t] = ran
       :: alive[s] && record[n] == refused -> reply[t] = not_run
       :: else -> reply[t] = unknown
       fi
    fi
  };
out:
  atomic { runs-- }
}

proctype Try(byte me) {
  byte n = 2 * me + 1;    /* the nonce that this try would bind */
  byte at;                /* the binding that it asks */
  byte old;
  byte asks = 0;
  bool rebound = false;
read:
  if
  :: atomic { faults > 0 -> faults--; told[me] = unknown; goto out }      /* the store is down */
  :: atomic { claim != 0 -> at = claim; goto ask }
  :: atomic { claim == 0 -> skip }
  fi;
  if
#ifdef NO_CAS
  :: atomic { claim = n; at = n; goto ask }
#else
  :: atomic { claim == 0 -> claim = n; at = n; goto ask }
  :: atomic { claim != 0 -> goto read }
#endif
#ifdef NO_READBACK
  :: atomic { faults > 0 -> faults--; at = n; goto ask }                  /* lost without effect, taken for success */
#else
  :: atomic { claim == 0 && faults > 0 -> faults--; claim = n; goto read }
  :: atomic { faults > 0 -> faults--; goto read }
#endif
  fi;
ask:
  atomic { reply[me] = silent; asked[me] = at; asks++; runs++; run Run(at, me) }
  if
  :: atomic { reply[me] == ran -> told[me] = ran; goto out }
  :: atomic { reply[me] == unknown -> told[me] = unknown; goto out }
  :: atomic { reply[me] == not_run -> skip }
  :: atomic { faults > 0 -> faults--; asked[me] = 0;                      /* the connection is lost: ask again, once */
     if
     :: asks < 2 -> goto ask
     :: else -> told[me] = unknown; goto out
     fi }
  fi;
  atomic {
    if
    :: rebound -> goto confirm
    :: else -> rebound = true; old = at; n = 2 * me + 2
    fi
  }
rebind:
  if
#ifdef NO_REBIND_GUARD
  :: atomic { claim = n; at = n; goto ask }
#else
  :: atomic { claim == old -> claim = n; at = n; goto ask }
  :: atomic { claim != old -> at = claim; goto ask }
#endif
  :: atomic { claim == old && faults > 0 -> faults--; claim = n; goto rebind }
  :: goto confirm                                                         /* no other process, or the store is down */
  fi;
confirm:
  if
#ifdef NO_CONFIRM
  :: atomic { told[me] = not_run; assert(executions == 0) }
#else
  :: atomic { claim == at -> told[me] = not_run; assert(executions == 0) }
  :: atomic { claim != at -> told[me] = unknown }
#endif
  :: atomic { faults > 0 -> faults--; told[me] = unknown }
  fi;
out:
  atomic { asked[me] = 0; reply[me] = silent; ended++ }
}

/* Either side process may die once, or never. */
proctype Death() {
end0:
  atomic { faults > 0 && ended < TRIES -> faults--;
    if
    :: alive[0] = false
    :: alive[1] = false
    fi }
}

init {
  atomic {
    side_of[1] = 0; side_of[2] = 1;           /* a key is bound anew at the other side process */
    if
    :: side_of[3] = 0; side_of[4] = 1
    :: side_of[3] = 1; side_of[4] = 0
    fi;
    run Try(0); run Try(1); run Death()
  }
  (ended == TRIES && runs == 0);
  assert(!(told[0] == not_run && told[1] == not_run && executions > 0));
  assert(!(told[0] == ran || told[1] == ran) || executions == 1)
}
