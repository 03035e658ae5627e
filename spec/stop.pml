/*
 * The end of one run on one runner: docs/platform.md, section 4.
 *
 * An owner orders the start of a run, the job may be cancelled at any time, and
 * the run has to end. Orders are carried out at any time after they were sent,
 * or never, and their answers may be lost. The runner may restart under its id:
 * it then runs nothing, has seen no fencing token and has stopped no run, so it
 * may still carry out orders to its earlier instance. The owner learns of a
 * restart from the list or from a report, at any time after it, and may be
 * replaced at any time; its successor knows only the stored rows.
 *
 * Safety: the owner counts the run as ended only if the instance that reported
 * so does not run it and will not begin it; and whenever a report lists a run
 * that should not run, another stop is ordered. That these stops end the run is
 * checked by sched_property_test.
 *
 * Not modelled: leases, which end the run of a runner that nobody reaches;
 * orders that a former owner sends after it was replaced; ends in reports, which
 * only say sooner what a report without the run says; more than one run.
 */

#ifndef MAXVER
#define MAXVER 6
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

mtype = { Idle, Starting, Unanswered, Running, Recovering, Stopping, Gone };

/* The store: its version counter, which gives the fencing tokens. */
byte ver = 1;

/* The runner. */
byte inst = 1;
byte seen;
bool runs;
bool closed; /* This instance has stopped the run. */

/* The owner. */
mtype phase = Idle;
byte token = 1;   /* Of its newest order to the runner. */
byte knows = 1;   /* Newest instance that it knows. */
bool contacted;
bool awaitsToken; /* No renewal is sent before the token has been raised. */
bool decided;     /* Task::m_decidedAt is set. */
bool answered;    /* Only of the mutation: stops are not repeated any more. */
bool unknownRun;
bool cancelled;

/* Orders under way; 0: none. A stop may be repeated while another is late. */
byte startToken;
byte stopToken[2];
byte renewToken;
bool renewDecided; /* decided, when the renewal was sent. */

/* Answers under way. */
bool stopApplied;
bool report;
byte reportInst;
bool reportRuns;

bool calm;
byte restarts = RESTARTS;
byte takeovers = 1;

#define PLACED (phase == Starting || phase == Unanswered || \
  phase == Running || phase == Recovering || phase == Stopping)
#ifdef MUTATE_RESTART_ANSWERS_STOP
#define REPEATS (!answered)
#else
#define REPEATS true
#endif
#ifdef MUTATE_ABSENCE_BEFORE_DECISION
#define DECIDED true
#else
#define DECIDED (renewDecided && decided)
#endif
#ifdef MUTATE_NO_TOKEN_AFTER_RESTART
#define AWAITS false
#else
#define AWAITS true
#endif
#define WILL_STOP (contacted && (unknownRun || \
  (phase == Stopping && REPEATS)))

inline newInstance() {
  knows = inst; contacted = false; awaitsToken = AWAITS; unknownRun = false;
  if
  :: PLACED -> decided = true;
       if
       :: phase == Stopping -> answered = true
       :: else -> phase = Recovering
       fi
  :: else
  fi
}

proctype Owner() {
  do
  :: d_step { phase == Idle && contacted ->
       phase = Starting; decided = false; startToken = token }
  :: d_step { phase == Starting -> phase = Unanswered }
  :: d_step { !cancelled && phase != Idle ->
       cancelled = true; answered = false;
       if
       :: PLACED -> phase = Stopping
       :: else
       fi; printf("EV cancel\n") }
  /* A stop, or its repetition. */
  :: d_step { (phase == Unanswered || WILL_STOP) && contacted &&
       stopToken[0] == 0 ->
       stopToken[0] = token; printf("EV stop\n") }
  :: d_step { stopApplied -> stopApplied = false; decided = true;
       answered = true }
  /* A commit raises the token. */
  :: d_step { ver < MAXVER -> ver++ }
  :: d_step { renewToken == 0 && !report &&
       (PLACED || !contacted || unknownRun) && (!awaitsToken || ver > token) ->
       token = ver; awaitsToken = false; renewToken = token;
       renewDecided = decided }
  :: d_step { report ->
       report = false;
       if
       :: reportInst < knows || awaitsToken -> skip
       :: reportInst > knows -> newInstance()
       :: else ->
            contacted = true; unknownRun = false;
            if
            :: reportRuns && (phase == Starting || phase == Recovering ||
                 (phase == Unanswered && !decided)) ->
                 phase = Running; decided = true
            :: reportRuns && phase == Gone -> unknownRun = true
            :: !reportRuns && PLACED && phase != Starting && DECIDED ->
                 assert(reportInst != inst || (!runs &&
                   !(startToken > 0 && startToken >= seen && !closed)));
                 phase = Gone; printf("EV gone\n")
            :: else
            fi;
            assert(!(reportRuns && cancelled) || WILL_STOP)
       fi }
  /* The list shows the newest instance. */
  :: d_step { knows < inst -> newInstance(); printf("EV listed\n") }
  /* Another owner: it knows the stored rows and any instance. */
  :: d_step { !calm && takeovers > 0 && ver < MAXVER ->
       takeovers--; ver++; token = ver; contacted = false; awaitsToken = false;
       unknownRun = false; renewToken = 0; report = false; stopApplied = false;
       decided = true; answered = false;
       if
       :: PLACED && cancelled -> phase = Stopping
       :: PLACED && !cancelled -> phase = Recovering
       :: else
       fi; printf("EV takeover\n") }
  :: d_step { !calm && phase != Idle -> calm = true }
  od
}

proctype Network() {
  do
  :: d_step { startToken > 0 ->
       if
       :: startToken >= seen && !closed ->
            runs = true; seen = startToken; printf("EV begins %d\n", inst)
       :: else
       fi;
       startToken = 0 }
  /* The start and its answer. */
  :: d_step { startToken > 0 && startToken >= seen && !closed &&
       phase == Starting ->
       runs = true; seen = startToken; startToken = 0;
       phase = Running; decided = true; printf("EV begins %d\n", inst) }
  /* The answer to a stop. */
  :: d_step { stopToken[0] > 0 ->
       if
       :: stopToken[0] >= seen ->
            seen = stopToken[0]; runs = false; closed = true; stopApplied = true
       :: else
       fi;
       stopToken[0] = 0; printf("EV stopped %d\n", inst) }
  /* A stop is left unanswered and carried out late, or lost. */
  :: d_step { !calm && stopToken[0] > 0 && stopToken[1] == 0 ->
       stopToken[1] = stopToken[0]; stopToken[0] = 0; printf("EV late\n") }
  :: d_step { stopToken[1] > 0 ->
       if
       :: stopToken[1] >= seen ->
            seen = stopToken[1]; runs = false; closed = true
       :: else
       fi;
       stopToken[1] = 0 }
  :: d_step { renewToken > 0 && renewToken >= seen ->
       seen = renewToken; renewToken = 0;
       report = true; reportInst = inst; reportRuns = runs }
  :: d_step { renewToken > 0 && (renewToken < seen || !calm) ->
       renewToken = 0 }
  od
}

proctype Runner() {
  do
  :: d_step { !calm && restarts > 0 ->
       restarts--; inst++; runs = false; closed = false; seen = 0;
       printf("EV restarts %d\n", inst) }
  od
}

init {
  atomic { run Owner(); run Network(); run Runner(); }
}
