/*
 * Slots: the adapter that was named, and none unloaded while it serves.
 *
 * One engine, one adapter's slot, two requests, one wish to put the adapter out. The engine may restart empty and
 * then answer from its base model; an answer may be lost while the engine goes on.
 *
 *   Request: pin, send      EngineRunner.start, #generate       daemon/src/side/runner.ts
 *   Request: doubtful       EngineRunner.#releaseOnceEnded      daemon/src/side/runner.ts
 *   Evict                   Slots.#makeRoom                     daemon/src/side/slots.ts
 *   Load                    Slots.#load                         daemon/src/side/slots.ts
 */
#ifndef FAULTS
#define FAULTS 2
#endif
#define REQUESTS 2

bool listed = true;        /* the side process's table has the slot */
byte slot_boot = 1;        /* the boot that it was loaded in */
byte pins = 0;
bool held = true;          /* the engine has the adapter */
byte boot = 1;
byte using = 0;            /* requests on the adapter in the engine */
byte faults = FAULTS;

proctype Request(byte id) {
  byte pin_boot;
  byte ran_boot;
  bool on_adapter = false;
  atomic {
    listed ->
    pin_boot = slot_boot;
#ifndef NO_PIN
    pins++
#endif
  }
  atomic {                                     /* sent: the engine begins */
    ran_boot = boot;
    on_adapter = held;
    if
    :: held -> using++
    :: else
    fi
  }
  if
  :: atomic {                                  /* the whole answer */
       if
       :: on_adapter && ran_boot == boot -> using--
       :: else
       fi }
#ifdef NO_BOOT
     assert(on_adapter);
#else
     if
     :: ran_boot == pin_boot -> assert(on_adapter)
     :: else                                   /* another boot: not believed */
     fi;
#endif
  :: atomic { faults > 0 -> faults-- };        /* the answer is lost, the engine goes on */
#ifndef NO_CANCEL
     atomic {                                  /* cancelled and acknowledged, or restarted */
       if
       :: on_adapter && ran_boot == boot -> using--
       :: else
       fi }
#endif
  fi;
#ifndef NO_PIN
  pins--
#endif
}

proctype Evict() {
  atomic { listed && pins == 0 -> listed = false }
  atomic {
    assert(using == 0);                        /* the order arrives */
    held = false
  }
  atomic { held = true; slot_boot = boot }     /* loaded again for the next */
  listed = true
}

proctype Restart() {
  if
  :: atomic { faults > 0 -> faults--; boot++; held = false; using = 0 }
  :: skip
  fi
}

init { atomic { run Request(0); run Request(1); run Evict(); run Restart() } }
