/*
 * Claims: a request runs at most once, and "not run" is reported only if that is proved.
 *
 * Two attempts with the same idempotency key arrive through two entries, and there are two side processes. Each step of
 * an attempt or a run is a separate transition, so any process may be paused between any two steps. FAULTS bounds the
 * number of faults: a side process crashes, the response to a write is lost (whether or not the write took effect), the
 * store is unavailable for one call, a response to an entry is lost, or a response of a backend server is lost.
 *
 *   Try: read, cas        Claims.bind                   store/src/claims.ts
 *   Try: rebind           Claims.rebind                 store/src/claims.ts
 *   Try: ask              Dispatcher.#runBound          daemon/src/entry/dispatcher.ts
 *   Try: confirm          Dispatcher.#confirmRefusal    daemon/src/entry/dispatcher.ts
 *   Run                   IdempotencyRecords.run        daemon/src/side/idempotency-records.ts
 *
 * Not modelled: epochs, and the caller's statement that an attempt is its first.
 */
#ifndef FAULTS
#define FAULTS 1
#endif
#define SIDES 2
#define TRIES 2
#define NONCES 5          /* 0 means "no claim"; an attempt binds at most twice */

mtype = { fresh, running, refused, done, doubtful }
mtype = { silent, ran, not_run, unknown }

byte claim = 0;           /* nonce of the claim in the store */
byte side_of[NONCES];     /* the side process that each nonce is bound to */
mtype record[NONCES] = fresh;
bool alive[SIDES] = true;
byte executions = 0;
byte faults = FAULTS;
mtype told[TRIES] = silent;
byte runs = 0;            /* number of active Run processes */
byte ended = 0;
mtype reply[TRIES] = silent;
byte asked[TRIES];       /* the binding whose response an attempt waits for */

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
  atomic {                /* already sent, so it runs even if the side process has crashed */
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
  atomic {                /* delivered only if the attempt still waits for this binding */
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
  byte n = 2 * me + 1;    /* the nonce for the next binding of this attempt */
  byte at;                /* the binding that the request is sent to */
  byte old;
  byte asks = 0;
  bool rebound = false;
read:
  if
  :: atomic { faults > 0 -> faults--; told[me] = unknown; goto out }      /* the store is unavailable */
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
  :: atomic { faults > 0 -> faults--; at = n; goto ask }                  /* lost without effect, assumed to succeed */
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
  :: atomic { faults > 0 -> faults--; asked[me] = 0;                      /* the connection is lost: retry once */
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
  :: goto confirm                                                         /* no other side process, or no store */
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

/* At most one side process crashes, and it may be either. */
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
    side_of[1] = 0; side_of[2] = 1;           /* an attempt rebinds its key to the other side process */
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
