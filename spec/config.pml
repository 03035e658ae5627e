/*
 * Acceptance and distribution of the configuration: section 7 of docs/design.md.
 *
 * Three daemons are the members of one epoch. A daemon holds a version once it
 * has the text, from the acceptance, a push, a pull or the table; it puts the
 * version in force when it knows that two of three members hold it. A daemon may
 * restart at any time. It then has no data, is no member until the table has
 * answered it, and serves only once it is ready. Messages are delayed arbitrarily
 * or lost, and an outage of the table is a delay of every step at it. A daemon
 * knows of another only what it last received from it, possibly from an earlier
 * incarnation.
 *
 * Safety: no VM ever serves with a version below one that it has served with,
 * also across restarts; a daemon that restarts after an operator was answered
 * never serves with a version below the answered one. Liveness: once faults have
 * ended, the head gets in force everywhere.
 *
 * Not modelled: changes of the epoch other than the return of a restarted daemon,
 * regions, lease rows as a second source of what a peer holds, and time.
 * The acceptance and the commit at the table are one step: a daemon pushes only
 * a version whose commit it knows to have taken effect.
 */

#ifndef VERSIONS
#define VERSIONS 2
#endif

byte head = 1;           /* config/head at the table */
byte held[3] = 1;
byte inForce[3] = 1;
bool ready[3] = 1;
bool member[3] = 1;      /* in its present incarnation */
bool current[3] = 1;     /* has held the head since it became a member */
byte served[3] = 1;      /* highest ever served by the VM, across restarts */
byte answered = 1;       /* highest that an operator was told to be in force */
byte atRestart[3];       /* answered, when the daemon restarted; 0: ready */

/* Entry 3 * i + j: the version held by j that i last heard of since i started; 0:
 * none. An entry of a restarted j stays until i hears from j again. An entry that
 * is no longer needed is cleared, to reduce the number of states. */
byte heard[9];
bool heardCurrent[9];    /* j was current then; kept while i is not ready */
byte headHeard[3];       /* what the table told i; kept while i is not ready */
byte restarts;
bool calm;

#ifndef RESTARTS
#define RESTARTS 2
#endif

#define AT(i, j) (3 * (i) + (j))
#define HOLDS(i, j, v) ((i) == (j) -> (member[i] && held[i] >= (v)) : \
  (heard[AT(i, j)] >= (v)))
#ifdef MUTATE_IN_FORCE_WHEN_HELD
#define MAJORITYHOLDS(i, v) (1)
#else
#define MAJORITYHOLDS(i, v) \
  (HOLDS(i, 0, v) + HOLDS(i, 1, v) + HOLDS(i, 2, v) >= 2)
#endif

/* A peer counts towards readiness if it was current when it was heard. */
#ifdef MUTATE_COUNT_PEERS_NOT_CURRENT
#define TELLS(i, j) ((i) != (j) && heard[AT(i, j)] > 0)
#else
#define TELLS(i, j) ((i) != (j) && heard[AT(i, j)] > 0 && heardCurrent[AT(i, j)])
#endif
#ifdef MUTATE_READY_AFTER_ONE_PEER
#define ENOUGHTELL(i) (TELLS(i, 0) + TELLS(i, 1) + TELLS(i, 2) >= 1)
#else
#define ENOUGHTELL(i) (TELLS(i, 0) + TELLS(i, 1) + TELLS(i, 2) >= 2)
#endif
#define COVERS(i, j) (!TELLS(i, j) || inForce[i] >= heard[AT(i, j)])
#define MAYSERVE(i) \
  ((headHeard[i] > 0 && inForce[i] >= headHeard[i]) || \
   (ENOUGHTELL(i) && COVERS(i, 0) && COVERS(i, 1) && COVERS(i, 2)))

inline NoteServed(i) {
  if
  :: ready[i] && inForce[i] > served[i] -> served[i] = inForce[i]
  :: else
  fi
}

/* Clears what a ready daemon no longer needs. */
inline DropIfUseless(i, j) {
  if
  :: ready[i] ->
     heardCurrent[AT(i, j)] = 0;
     if
     :: heard[AT(i, j)] <= inForce[i] -> heard[AT(i, j)] = 0
     :: else
     fi
  :: else
  fi
}

inline DropUseless(i) {
  if
  :: ready[i] -> headHeard[i] = 0
  :: else
  fi;
  DropIfUseless(i, 0); DropIfUseless(i, 1); DropIfUseless(i, 2)
}

#define HEAR(i, j) \
  :: d_step { (i) != (j) && member[j] && \
       ((ready[i] && held[j] > inForce[i] && heard[AT(i, j)] < held[j]) || \
        (!ready[i] && (heard[AT(i, j)] != held[j] || \
                       heardCurrent[AT(i, j)] != current[j]))) -> \
       heard[AT(i, j)] = held[j]; heardCurrent[AT(i, j)] = current[j]; \
       DropIfUseless(i, j); \
       printf("EV hear %d %d\n", i, j) } \
  :: d_step { (i) != (j) && held[j] > held[i] -> /* push or pull */ \
       held[i] = held[j]; printf("EV fetch %d %d\n", i, j) }

proctype Daemon(byte i) {
  do
  :: d_step { ready[i] && !calm && head < VERSIONS &&
       inForce[i] == head -> /* an operator's change, based on the head */
       head++; held[i] = head; printf("EV accept %d %d\n", i, head) }
  HEAR(i, 0)
  HEAR(i, 1)
  HEAR(i, 2)
  :: d_step { !ready[i] && headHeard[i] < head ->
       headHeard[i] = head; printf("EV head %d\n", i) }
  :: d_step { held[i] < head ->
       held[i] = head; printf("EV read %d\n", i) }
  :: d_step { held[i] > inForce[i] && MAJORITYHOLDS(i, held[i]) ->
       inForce[i] = held[i]; printf("EV in_force %d\n", i);
       NoteServed(i); DropUseless(i) }
  :: d_step { !ready[i] && MAYSERVE(i) ->
       ready[i] = 1; printf("EV ready %d\n", i);
       assert(inForce[i] >= served[i]);
       /* A version answered after the restart may not have arrived yet, as with a
        * daemon that did not restart. */
       assert(inForce[i] >= atRestart[i]);
       atRestart[i] = 0;
       NoteServed(i); DropUseless(i) }
  :: d_step { !member[i] -> /* a new epoch */
       member[i] = 1; printf("EV member %d\n", i) }
  :: d_step { member[i] && !current[i] && held[i] == head ->
       current[i] = 1; printf("EV current %d\n", i) }
  od
}

proctype Operator() {
  do
  :: d_step { ready[0] + ready[1] + ready[2] >= 2 &&
       (ready[0] && inForce[0] > answered) +
       (ready[1] && inForce[1] > answered) +
       (ready[2] && inForce[2] > answered) >= 2 -> answered++;
       printf("EV answered\n") }
  od
}

#define RESTART(i) \
  :: d_step { !calm && restarts < RESTARTS -> \
       restarts++; atRestart[i] = answered; \
       held[i] = 0; inForce[i] = 0; ready[i] = 0; member[i] = 0; current[i] = 0; \
       headHeard[i] = 0; \
       heard[AT(i, 0)] = 0; heard[AT(i, 1)] = 0; heard[AT(i, 2)] = 0; \
       heardCurrent[AT(i, 0)] = 0; heardCurrent[AT(i, 1)] = 0; \
       heardCurrent[AT(i, 2)] = 0; \
       printf("EV restart %d\n", i) }

proctype Faults() {
  do
  RESTART(0)
  RESTART(1)
  RESTART(2)
#ifdef LIVENESS
  :: d_step { !calm -> calm = 1 } -> break
#endif
  od
}

init {
  atomic {
    run Daemon(0); run Daemon(1); run Daemon(2); run Operator(); run Faults()
  }
}

/* Liveness under weak fairness: once faults have ended, the head gets in force
 * on all daemons. */
#define SPREAD (ready[0] && ready[1] && ready[2] && inForce[0] == head && \
  inForce[1] == head && inForce[2] == head)
ltl spread { [] (calm -> <> SPREAD) }
