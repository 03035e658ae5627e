/*
 * Ownership of one unit over three epochs: sections 4 and 2.2 of docs/design.md.
 *
 * Epoch 1 has the members 0, 1, 2 and the unit is owned by 0; epoch 2 has the
 * members 1, 2 and owner 1; epoch 3 has owner OWNER3, and is the last.
 * Members may be paused (any process may be delayed arbitrarily), restarted once
 * with a new incarnation, disconnected, and informed of a new epoch by the table
 * or by a peer. Commits, their replies, heartbeats and echoes may be delayed
 * arbitrarily or lost. An outage of the table is a delay of every step at it.
 *
 * Time is a global tick. A renewal or heartbeat stores the ticks left of what it
 * grants, counted from its *sending*; waits count the ticks since an event was
 * seen.
 *
 * Not modelled: the drift of clocks (in the code the margin of 2 % + 100 ms covers
 * it), the rule that peers count only after 2 s without the table (the model
 * lets them count at any time, which allows more), the daemon's delay between
 * the check of the authority and the sending of a message, the choice of members,
 * and the authority of the owner of epoch 3, which acts as soon as it has taken
 * over. One exchange of heartbeat and echo per pair is in progress at a time: the
 * end of a confirmation is the latest over all exchanges, so any end reached by
 * overlapping exchanges is also reached by a single one.
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef CONF
#define CONF 1
#endif
#ifndef OWNER3
#define OWNER3 2
#endif

#define OWNER(e) ((e) == 1 -> 0 : ((e) == 2 -> 1 : OWNER3))
byte tableEpoch = 1;
bool listsFirst = 1;    /* epoch 3's row lists epoch 1 as not settled */
byte epoch[3] = 1;      /* adopted */
bool restarted[3];      /* new incarnation: no member of epochs 1 to 3 */
bool givenUp;           /* member 0 released the unit while in epoch 1 */
byte storeLeft[2];      /* ticks left of the authority by the store */

byte renewPhase[2];     /* 0 none, 1 sent, 2 committed */
byte renewLeft[2];

/* Exchanges 0: 0 with 1, 1: 0 with 2, 2: 1 with 2. */
byte exPhase[3];        /* 0 none, 1 sent, 2 + e: echoed in epoch e */
byte exLeft[3];
byte confirmed[3];      /* ticks left of the confirmation */
#define EXFROM(x) ((x) == 2 -> 1 : 0)
#define EXTO(x) ((x) == 0 -> 1 : 2)

/* Ticks that 1 has waited for epoch 1, and OWNER3 for epochs 1 and 2, plus 1;
 * 0: the wait has not begun. */
byte supersededFor[3];  /* 0: by 1, of epoch 1; 1, 2: by OWNER3, of 1 and 2 */
byte blockedFor[3];
bool cleared1;          /* 1 has taken over the unit in epoch 2 */
bool cleared3;          /* OWNER3 has taken over the unit in epoch 3 */
bool calm;              /* set once no more faults happen */

#define LEFTOF(n, e) (epoch[n] > (e) || restarted[n])
#ifdef MUTATE_ONE_ADOPTER
#define BLOCKED1 (LEFTOF(0, 1) + LEFTOF(1, 1) + LEFTOF(2, 1) >= 1)
#else
/* Without two of three members, or one of two, there is no majority. */
#define BLOCKED1 (LEFTOF(0, 1) + LEFTOF(1, 1) + LEFTOF(2, 1) >= 2)
#endif
#define BLOCKED2 (LEFTOF(1, 2) + LEFTOF(2, 2) >= 1)

#ifdef MUTATE_NO_LEASE_WAIT
#define LEASEOVER(w) (1)
#else
#define LEASEOVER(w) (supersededFor[w] > LEASE)
#endif
#ifdef MUTATE_NO_CONFIRMATION_WAIT
#define CONFOVER(w) (blockedFor[w] > 0)
#else
#define CONFOVER(w) (blockedFor[w] > CONF)
#endif
#define SETTLED(w) (LEASEOVER(w) && CONFOVER(w))
#ifdef MUTATE_RENEW_WITHOUT_EPOCH_CHECK
#define COMMITALLOWED(n) (1)
#else
#define COMMITALLOWED(n) (tableEpoch == epoch[n])
#endif
#ifdef MUTATE_ECHO_OF_RESTARTED
#define MAYECHO(n) (1)
#else
#define MAYECHO(n) (!restarted[n])
#endif
#ifdef MUTATE_ECHO_OF_ANY_EPOCH
#define ECHOCOUNTS(x) (1)
#else
#define ECHOCOUNTS(x) (exPhase[x] - 2 == epoch[EXFROM(x)])
#endif
#define MAYHOLD0 (epoch[0] == 1 && !restarted[0] && !givenUp)
#define MAYHOLD1 (epoch[1] <= 2 && !restarted[1])
#define RELEASED1 (givenUp || epoch[0] > 1)
#define RELEASED2 (epoch[1] > 2)

#define BYPEERS1 (confirmed[0] > 0 || confirmed[1] > 0)
#define BYPEERS2 (confirmed[2] > 0)
#define ACTS1 (epoch[0] == 1 && !restarted[0] && !givenUp && \
  (storeLeft[0] > 0 || BYPEERS1))
#define ACTS2 (epoch[1] == 2 && !restarted[1] && cleared1 && \
  (storeLeft[1] > 0 || BYPEERS2))
#define ACTS3 (cleared3)

/* Member 0 loses all its authority; pending renewals and exchanges are void. */
inline Drop0() {
  storeLeft[0] = 0; renewPhase[0] = 0; renewLeft[0] = 0;
  exPhase[0] = 0; exLeft[0] = 0; confirmed[0] = 0;
  exPhase[1] = 0; exLeft[1] = 0; confirmed[1] = 0
}

inline Drop1() {
  storeLeft[1] = 0; renewPhase[1] = 0; renewLeft[1] = 0;
  exPhase[2] = 0; exLeft[2] = 0; confirmed[2] = 0;
  cleared1 = 0
}

inline Adopt(n, e) {
  epoch[n] = e;
  if
  :: n == 0 -> Drop0()
  :: n == 1 && e == 3 -> Drop1(); supersededFor[0] = 0; blockedFor[0] = 0
  :: n == 1 && e == 2 ->
     /* Authority by the store is kept; confirmations by peers are not. */
     renewPhase[1] = 0; renewLeft[1] = 0; confirmed[2] = 0;
     supersededFor[0] = 1
  :: else
  fi;
  if
  :: n == OWNER3 && supersededFor[1] == 0 -> supersededFor[1] = 1
  :: else
  fi;
  if
  :: n == OWNER3 && e == 3 -> supersededFor[2] = 1
  :: else
  fi
}

/* Each member learns of later epochs from the table or from a peer. */
proctype Reader(byte n) {
  do
  :: d_step { epoch[n] < tableEpoch ->
       Adopt(n, tableEpoch);
       printf("EV adopt %d %d\n", n, epoch[n]) }
  :: d_step { !calm && epoch[n] < epoch[0] ->
       Adopt(n, epoch[0]);
       printf("EV adopt %d %d\n", n, epoch[n]) }
  :: d_step { !calm && epoch[n] < epoch[1] ->
       Adopt(n, epoch[1]);
       printf("EV adopt %d %d\n", n, epoch[n]) }
  :: d_step { !calm && epoch[n] < epoch[2] ->
       Adopt(n, epoch[2]);
       printf("EV adopt %d %d\n", n, epoch[n]) }
  od
}

/* Any member of the newest epoch proposes the next by a conditional write. The
 * row lists epoch 1 as not settled, unless the proposer has seen it settled. */
proctype Proposer() {
  do
  :: d_step { tableEpoch == 1 &&
       (epoch[0] == 1 || epoch[1] == 1 || epoch[2] == 1) ->
       tableEpoch = 2;
       printf("EV propose 2 1\n") }
  :: d_step { tableEpoch == 2 && (epoch[1] == 2 || epoch[2] == 2) ->
       tableEpoch = 3;
#ifdef MUTATE_FORGET_UNSETTLED
       listsFirst = 0;
#endif
       printf("EV propose 3 1\n") }
  :: d_step { tableEpoch == 2 &&
       ((epoch[1] == 2 && SETTLED(0)) ||
        (epoch[OWNER3] == 2 && SETTLED(1))) ->
       tableEpoch = 3;
       listsFirst = 0;
       printf("EV propose 3 0\n") }
  od
}

/* Renewals at the table by the owners of epochs 1 and 2. A lost renewal or reply
 * is modelled as one that is delayed until it is sent again or has expired. */
inline Acknowledge(n) {
  if
  :: renewLeft[n] > storeLeft[n] -> storeLeft[n] = renewLeft[n]
  :: else
  fi;
  renewPhase[n] = 0; renewLeft[n] = 0
}

proctype Store() {
  do
  :: d_step { epoch[0] == 1 && renewLeft[0] < LEASE && MAYHOLD0 ->
       renewPhase[0] = 1; renewLeft[0] = LEASE;
       printf("EV renew 0\n") }
  :: d_step { epoch[1] <= 2 && renewLeft[1] < LEASE && !restarted[1] ->
       renewPhase[1] = 1; renewLeft[1] = LEASE;
       printf("EV renew 1\n") }
  :: d_step { renewPhase[0] == 1 && COMMITALLOWED(0) ->
       renewPhase[0] = 2; printf("EV commit 0\n") }
  :: d_step { renewPhase[1] == 1 && COMMITALLOWED(1) ->
       renewPhase[1] = 2; printf("EV commit 1\n") }
  :: d_step { renewPhase[0] == 2 -> Acknowledge(0); printf("EV ack 0\n") }
  :: d_step { renewPhase[1] == 2 -> Acknowledge(1); printf("EV ack 1\n") }
  od
}

/* Heartbeats and their echoes; a loss is modelled as a delay, as above. */
inline Confirm(x) {
  if
  :: ECHOCOUNTS(x) && exLeft[x] > confirmed[x] -> confirmed[x] = exLeft[x]
  :: else
  fi;
  exPhase[x] = 0; exLeft[x] = 0
}

#define EXCHANGE(x, from, to, mayHold) \
  :: d_step { mayHold && exLeft[x] < CONF -> \
       exPhase[x] = 1; exLeft[x] = CONF; \
       printf("EV heartbeat %d %d\n", from, to) } \
  :: d_step { exPhase[x] == 1 && MAYECHO(to) -> \
       exPhase[x] = 2 + epoch[to]; \
       printf("EV echo %d %d\n", from, to) } \
  :: d_step { exPhase[x] > 2 -> Confirm(x); \
       printf("EV confirm %d %d\n", from, to) }

proctype Peers() {
  do
  EXCHANGE(0, 0, 1, MAYHOLD0)
  EXCHANGE(1, 0, 2, MAYHOLD0)
  EXCHANGE(2, 1, 2, MAYHOLD1)
  od
}

/* The owner of epoch 2 takes over once the members left in epoch 1 can have no
 * majority and its waits are over, or once the unit has been released. */
proctype Taker1() {
  do
  :: d_step { epoch[1] == 2 && blockedFor[0] == 0 && BLOCKED1 ->
       blockedFor[0] = 1; printf("EV hear 1 1\n") }
  :: d_step { epoch[1] == 2 && !restarted[1] && !cleared1 &&
       (SETTLED(0) || RELEASED1) ->
       cleared1 = 1; printf("EV take 1\n") }
  od
}

proctype Taker3() {
  do
  :: d_step { epoch[OWNER3] > 1 && !cleared3 && blockedFor[1] == 0 &&
       BLOCKED1 ->
       blockedFor[1] = 1; printf("EV hear %d 1\n", OWNER3) }
  :: d_step { epoch[OWNER3] == 3 && !cleared3 && blockedFor[2] == 0 &&
       BLOCKED2 ->
       blockedFor[2] = 1; printf("EV hear %d 2\n", OWNER3) }
  :: d_step { epoch[OWNER3] == 3 && !restarted[OWNER3] && !cleared3 &&
       (SETTLED(2) || RELEASED2) &&
       (!listsFirst || OWNER3 == 0 || SETTLED(1) || RELEASED1) ->
       cleared3 = 1; supersededFor[1] = 0; supersededFor[2] = 0;
       blockedFor[1] = 0; blockedFor[2] = 0; printf("EV take %d\n", OWNER3) }
  od
}

#ifdef MUTATE_ECHO_OF_RESTARTED
#define EPOCHOFRESTARTED(n) (1) /* A stale peer sends it the row of epoch 1. */
#else
#define EPOCHOFRESTARTED(n) (epoch[n])
#endif
/* At most one member restarts. */
#define RESTART(n) \
  :: d_step { !calm && !restarted[0] && !restarted[1] && !restarted[2] -> \
       restarted[n] = 1; \
       if \
       :: n == 0 -> Drop0() \
       :: n == 1 -> Drop1() \
       :: else \
       fi; \
       if \
       :: n == OWNER3 -> cleared3 = 0 \
       :: else \
       fi; \
       epoch[n] = EPOCHOFRESTARTED(n); \
       printf("EV restart %d\n", n) }

proctype Faults() {
  do
  :: d_step { !calm && !givenUp && epoch[0] == 1 ->
       givenUp = 1; Drop0(); printf("EV give_up 0\n") }
  RESTART(0)
  RESTART(1)
  RESTART(2)
#ifdef LIVENESS
  :: d_step { !calm && tableEpoch == 3 && !restarted[OWNER3] ->
       calm = 1 } -> break
#endif
  od
}

#define DOWN(v) if :: v > 0 -> v-- :: else fi
#define RISE(v, max) if :: v > 0 && v <= max -> v++ :: else fi

inline AgeRenewal(n) {
  if
  :: renewLeft[n] == 1 -> renewLeft[n] = 0; renewPhase[n] = 0
  :: renewLeft[n] > 1 -> renewLeft[n]--
  :: else
  fi
}

inline AgeExchange(x) {
  if
  :: exLeft[x] == 1 -> exLeft[x] = 0; exPhase[x] = 0
  :: exLeft[x] > 1 -> exLeft[x]--
  :: else
  fi
}

proctype Clock() {
  do
  :: d_step { true ->
       printf("EV tick\n");
       DOWN(storeLeft[0]); DOWN(storeLeft[1]);
       AgeRenewal(0); AgeRenewal(1);
       AgeExchange(0); AgeExchange(1); AgeExchange(2);
       DOWN(confirmed[0]); DOWN(confirmed[1]); DOWN(confirmed[2]);
       RISE(supersededFor[0], LEASE); RISE(supersededFor[1], LEASE);
       RISE(supersededFor[2], LEASE);
       RISE(blockedFor[0], CONF); RISE(blockedFor[1], CONF);
       RISE(blockedFor[2], CONF) }
  od
}

/* Safety: two members never act for the unit at the same time. */
proctype Monitor() {
  atomic { (ACTS1 && ACTS2) || (ACTS1 && ACTS3) || (ACTS2 && ACTS3) ->
    printf("EV violated\n");
    assert(false) }
}

init {
  atomic {
    run Monitor(); run Reader(0); run Reader(1); run Reader(2);
    run Proposer(); run Taker1(); run Taker3(); run Clock();
#ifndef LIVENESS
    run Store(); run Peers();
#endif
    run Faults()
  }
}

/* Liveness, under weak fairness: once faults have ended, the owner of the last
 * epoch acts. This run omits renewals and exchanges, since a takeover does not
 * depend on them. */
ltl takeover { [] (calm -> <> cleared3) }
