/*
 * One batch task on two workers: the table in section 6.1 of docs/design.md.
 *
 * The row of the task holds state, worker and fencing token; each transition is
 * one conditional write, so it is one step here. A lost reply of a commit is
 * resolved by reading the row, which is the same as a delay before the next
 * step. The owner may crash after any step; its successor knows only the row and
 * assumes that every lease was renewed when it started itself. Commands to the
 * workers may be repeated, delayed arbitrarily or lost. A command states when the
 * lease that it grants ends, counted from its sending.
 *
 * Safety: the task never runs on two workers; each token is started at most once;
 * Cancelled and Finished are final. Liveness: once faults have ended, and if
 * tokens are left, the task ends.
 *
 * Not modelled: checkpoints and progress, more than one task, capacity, drift of
 * clocks (margin of 2 % + 100 ms), and workers that ignore their lease. Once
 * faults have ended, renewals arrive in time.
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef MAXTOKEN
#define MAXTOKEN 3
#endif

mtype = { Queued, Starting, Running, Evicting, Finished, Failed, Cancelled };

/* The row. */
mtype state = Queued;
byte worker;
byte token;

/* The owner: ticks until the current worker's lease has certainly ended. */
byte leaseSent;

/* Workers: the running token, the highest seen, the ended one to report;
 * 0: none. */
byte runs[2];
byte highest[2];
byte lease[2];
mtype ended[2] = Queued; /* Queued: nothing; Evicting: stopped */
byte endedToken[2];

/* Commands sent but not received; 0: none. */
byte startToken[2];
byte startLease[2];
byte renewToken[2];
byte renewLease[2];
byte stopToken[2];

bool startedOnce[MAXTOKEN + 1];
bool wasCancelled;
bool wasFinished;
bool calm;

#define CURRENT(w) (worker == (w))
#define ENDED(w, how) (CURRENT(w) && ended[w] == (how) && \
  endedToken[w] == token)
#ifdef MUTATE_RESTART_WITHOUT_WAIT
#define LAPSED (1)
#else
#define LAPSED (leaseSent == 0)
#endif
#ifdef MUTATE_LEASE_FROM_RECEIPT
#define GIVEN(left) (LEASE)
#define USEFUL(left) (1)
#else
#define GIVEN(left) (left)
#define USEFUL(left) ((left) > 0)
#endif
#ifdef MUTATE_FORGET_LEASE_AT_TAKEOVER
#define LEASEATTAKEOVER 0
#else
#define LEASEATTAKEOVER LEASE
#endif

/* Evictions and cancellations may come at any time. */
proctype Commands() {
  do
  :: d_step { !calm && state == Running -> state = Evicting;
       printf("EV evict\n") }
  :: d_step { !calm && (state == Queued || state == Starting ||
       state == Running || state == Evicting) ->
       state = Cancelled; wasCancelled = 1; printf("EV cancel\n") }
#ifdef MUTATE_CANCELLED_IS_EVICTED
  :: d_step { !calm && state == Cancelled -> state = Evicting }
#endif
  od
}

/* The lease counts from before the start command is sent. */
#define START(w) \
  :: d_step { state == Queued && token < MAXTOKEN -> \
       state = Starting; token++; worker = w; leaseSent = LEASE; \
       printf("EV start %d %d\n", w, token) }

/* Commits of the owner, based on the row and on reports of the workers. */
proctype Owner() {
  do
  START(0)
  START(1)
  :: d_step { state == Starting && runs[worker] == token ->
       state = Running; printf("EV confirm\n") }
  :: d_step { state == Starting && (LAPSED || ENDED(worker, Evicting)) -> /* abandon */
       state = Queued; printf("EV abandon\n") }
  :: d_step { state == Running && (LAPSED || ENDED(worker, Evicting)) -> /* lost */
       state = Queued; printf("EV lost\n") }
  :: d_step { state == Evicting && (LAPSED || ENDED(worker, Evicting) ||
       ENDED(worker, Failed)) ->
       state = Queued; printf("EV evicted\n") }
  :: d_step { (state == Starting || state == Running || state == Evicting) &&
       ENDED(worker, Finished) ->
       state = Finished; wasFinished = 1; printf("EV finish\n") }
  :: d_step { (state == Starting || state == Running) &&
       ENDED(worker, Failed) ->
       state = (token == MAXTOKEN -> Failed : Queued); printf("EV fail\n") }
  od
}

/* The start command, repeated any number of times while the row is Starting. */
proctype Starter(byte w) {
  do
  :: d_step { state == Starting && CURRENT(w) && startToken[w] != token &&
       leaseSent > 0 ->
       startToken[w] = token; startLease[w] = leaseSent;
       printf("EV send_start %d\n", w) }
  :: d_step { startToken[w] > 0 -> /* received, or refused as stale */
       if
       :: startToken[w] > highest[w] && USEFUL(startLease[w]) ->
          highest[w] = startToken[w]; runs[w] = startToken[w];
          lease[w] = GIVEN(startLease[w]);
          assert(!startedOnce[runs[w]]);
          startedOnce[runs[w]] = 1
       :: else
       fi;
       startToken[w] = 0; startLease[w] = 0;
       printf("EV receive_start %d\n", w) }
  od
}

proctype Stopper(byte w) {
  do
  :: d_step { (state == Evicting || state == Cancelled) && CURRENT(w) &&
       runs[w] == token && stopToken[w] == 0 ->
       stopToken[w] = token; printf("EV send_stop %d\n", w) }
  :: d_step { stopToken[w] > 0 ->
       if
       :: runs[w] == stopToken[w] ->
          ended[w] = Evicting; endedToken[w] = runs[w]; runs[w] = 0;
          lease[w] = 0
       :: else
       fi;
       if
       :: highest[w] < stopToken[w] -> highest[w] = stopToken[w]
       :: else
       fi;
       stopToken[w] = 0; printf("EV receive_stop %d\n", w) }
  od
}

proctype Renewer(byte w) {
  do
  :: d_step { (state == Running || state == Evicting) && CURRENT(w) &&
       renewLease[w] < LEASE ->
       renewToken[w] = token; renewLease[w] = LEASE; leaseSent = LEASE;
       printf("EV send_renewal %d\n", w) }
  :: d_step { renewToken[w] > 0 ->
       if
       :: runs[w] == renewToken[w] && GIVEN(renewLease[w]) > lease[w] ->
          lease[w] = GIVEN(renewLease[w])
       :: else
       fi;
       renewToken[w] = 0; renewLease[w] = 0;
       printf("EV receive_renewal %d\n", w) }
  od
}

proctype Worker(byte w) {
  do
  :: d_step { runs[w] > 0 ->
       ended[w] = Finished; endedToken[w] = runs[w]; runs[w] = 0; lease[w] = 0;
       printf("EV task_finished %d\n", w) }
  :: d_step { !calm && runs[w] > 0 ->
       ended[w] = Failed; endedToken[w] = runs[w]; runs[w] = 0; lease[w] = 0;
       printf("EV task_failed %d\n", w) }
  od
}

proctype Faults() {
  do
  :: d_step { !calm -> leaseSent = LEASEATTAKEOVER; /* a successor starts */
       printf("EV owner_dies\n") }
#ifdef LIVENESS
  :: d_step { !calm && token < MAXTOKEN -> calm = 1 } -> break
#endif
  od
}

/* Once faults have ended, time stops while a lease renewal, a start or a report
 * is due, so that each of them comes in time. */
#define INTIME ((state == Starting || state == Running || state == Evicting) && \
    (ENDED(worker, Finished) || ENDED(worker, Failed) || \
     ENDED(worker, Evicting)) || \
  (state == Running && runs[worker] == token) || \
  (state == Starting && (runs[worker] == token || \
    (highest[worker] < token && leaseSent > 0))))
#define AGE(v, t) if :: v == 1 -> v = 0; t = 0 :: v > 1 -> v-- :: else fi
#define DOWN(v) if :: v > 0 -> v-- :: else fi

inline Expire(w) {
  if
  :: lease[w] == 1 ->
     ended[w] = Evicting; endedToken[w] = runs[w];
     lease[w] = 0; runs[w] = 0
  :: lease[w] > 1 -> lease[w]--
  :: else
  fi
}

proctype Clock() {
  do
  :: d_step { !(calm && INTIME) ->
       printf("EV tick\n");
       DOWN(leaseSent);
       Expire(0); Expire(1);
#ifndef MUTATE_LEASE_FROM_RECEIPT
       AGE(startLease[0], startToken[0]); AGE(startLease[1], startToken[1]);
       AGE(renewLease[0], renewToken[0]); AGE(renewLease[1], renewToken[1])
#endif
     }
  od
}

proctype Monitor() {
  atomic { (runs[0] > 0 && runs[1] > 0) || (wasCancelled && state != Cancelled) ||
    (wasFinished && state != Finished) ->
    printf("EV violated\n");
    assert(false) }
}

init {
  atomic {
    run Monitor(); run Commands(); run Owner();
    run Starter(0); run Starter(1); run Stopper(0); run Stopper(1);
    run Renewer(0); run Renewer(1); run Worker(0); run Worker(1);
    run Clock(); run Faults()
  }
}

#define OVER (state == Finished || state == Failed || state == Cancelled)
ltl ends { [] (calm -> <> OVER) }
