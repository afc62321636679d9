/*
 * Slots: a request runs on the adapter that it names, and no adapter is unloaded while a request uses it.
 *
 * One engine, the slot of one adapter, two requests and one eviction of the adapter. The engine may restart with no
 * adapter loaded and then respond from its base model; a response may be lost while the engine still runs the request.
 *
 *   Request: pin, send        EngineRunner.start, #generate       daemon/src/side/runner.ts
 *   Request: cancel, unpin    EngineRunner.#cancelThenRelease     daemon/src/side/runner.ts
 *   Evict: unload             AdapterSlots.#freeSlot              daemon/src/side/adapter-slots.ts
 *   Evict: load               AdapterSlots.#load                  daemon/src/side/adapter-slots.ts
 */
#ifndef FAULTS
#define FAULTS 2
#endif
#define REQUESTS 2

bool listed = true;        /* the slot is in the side process's table */
byte slot_boot = 1;        /* the boot of the engine in which the adapter was loaded */
byte pins = 0;
bool held = true;          /* the adapter is loaded in the engine */
byte boot = 1;
byte using = 0;            /* requests that the engine is running on the adapter */
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
  atomic {                                     /* the request is sent and the engine starts it */
    ran_boot = boot;
    on_adapter = held;
    if
    :: held -> using++
    :: else
    fi
  }
  if
  :: atomic {                                  /* the complete response arrives */
       if
       :: on_adapter && ran_boot == boot -> using--
       :: else
       fi }
#ifdef NO_BOOT
     assert(on_adapter);
#else
     if
     :: ran_boot == pin_boot -> assert(on_adapter)
     :: else                                   /* response from another boot: discarded */
     fi;
#endif
  :: atomic { faults > 0 -> faults-- };        /* the response is lost, but the engine still runs the request */
#ifndef NO_CANCEL
     atomic {                                  /* the engine confirms the cancellation or has restarted */
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
    assert(using == 0);                        /* the unload order arrives */
    held = false
  }
  atomic { held = true; slot_boot = boot }     /* loaded again for the next request */
  listed = true
}

proctype Restart() {
  if
  :: atomic { faults > 0 -> faults--; boot++; held = false; using = 0 }
  :: skip
  fi
}

init { atomic { run Request(0); run Request(1); run Evict(); run Restart() } }
