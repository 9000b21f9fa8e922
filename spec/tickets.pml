/*
 * Tickets and dispatch of a request that may not be repeated.
 *
 * Properties (assertions)
 *   T1  the request runs at most once, over all tickets the caller ever used
 *   T2  `not_run` is reported for a ticket only if that ticket has not run and never will
 *   T3  no byte of the request is written to a target after the deadline
 *   T4  no byte is written to a target that has been leaving for longer than the bound
 *       within which every running daemon learns of it
 *
 * Faults included
 *   crash and restart    a daemon loses all memory and returns as a new incarnation
 *   freeze and resume    a daemon stops between any two steps and continues later, perhaps
 *                        after the deadline
 *   loss, duplication,   a message once sent may be delivered never, once or repeatedly, at any
 *   reordering           later time: requests, answers and replies of the target
 *   two views            a daemon that is not the home considers the home alive or dead,
 *                        arbitrarily each time
 *   target crash         a run may end without a reply
 *   eviction             the home may evict a finished ticket at any time
 *
 * Reductions of the state space that lose no behaviour
 *   A caller that holds ticket t may have sent it to every daemon, so `used[t]` means
 *   "a request with t may arrive at any daemon now". A forward that reaches the home is
 *   the same event as a request that reaches it, so forwards carry no state of their own.
 *   A caller that has read `unknown` or the whole answer sends no more, which is the same
 *   as all its later messages being lost. Daemons are symmetric, so ticket 0 is issued
 *   by daemon 0.
 *
 * Assumptions: the link from daemon to target is one stream, so what is written once
 * arrives at most once, later or never. A refusal by the target is truthful. The caller
 * keeps its ticket until it reads an outcome.
 *
 * Bounds: 2 daemons with 2 incarnations each, 2 tickets for one request, 2 attempts a
 * ticket, 1 target, 1 deadline, FREEZES freezes in all.
 *
 * Flags besides the guards: ONLY_T1 omits T2, to show that a guard protects T1 itself;
 * SPLIT_CHECK allows a freeze between check and write, and omits T3 and T4 unless
 * STRICT_TIME is set.
 */

#ifndef FREEZES
#define FREEZES 1
#endif

#define ND 2
#define NT 2
#define NONE NT            /* the caller holds no ticket */
#define IX (d * NT + t)    /* what daemon d knows of ticket t */
#define WIRE(a) (IX * 2 + (a))

/* A ticket in the memory of a daemon. */
#define ABSENT 0
#define ISSUED 1
#define DISPATCHED 2
#define NOT_RUN 3
#define COMPLETED 4
#define UNKNOWN 5

/* The write that the control thread has handed to a traffic thread. */
#define IDLE 0
#define QUEUED 1
#define CHECKED 2          /* only with SPLIT_CHECK: check and write are two steps */
#define UNMARKED 3         /* only with NO_DISPATCH_MARK: written, ticket still ISSUED */

/* State of an attempt between daemon and target. */
#define UNSENT 0
#define ON_THE_WAY 1
#define REFUSED 2
#define RAN 3

/* daemons */
bit incarnation[ND];
bool frozen[ND];
bool stale[ND];            /* resumed, but the control tick has not detected the gap yet */
bool knows_leaving[ND];
byte ticket[ND * NT];
bit attempt[ND * NT];
byte write_state[ND * NT];
byte wire[ND * NT * 2];

/* tickets: the home is a daemon and its incarnation */
bool issued[NT];
bit home_daemon[NT];
bit home_incarnation[NT];

/* caller */
byte held = NONE;
bool used[NT];
bool said_not_run[NT];
bool ran[NT];

/* time and faults */
bool deadline_passed;
bool leaving;
bool leave_bound_passed;
byte freezes;

#ifdef NO_INCARNATION
#define IS_HOME (issued[t] && home_daemon[t] == d)
#define MAY_ISSUE (IS_HOME && home_incarnation[t] != incarnation[d] && ticket[IX] == ABSENT)
#else
#define IS_HOME (issued[t] && home_daemon[t] == d && home_incarnation[t] == incarnation[d])
#define MAY_ISSUE false
#endif

#ifdef NO_DEADLINE_RECHECK
#define IN_TIME true
#else
#define IN_TIME (!deadline_passed)
#endif

#ifdef NO_FRESHNESS_RECHECK
#define IS_FRESH true
#else
#define IS_FRESH (!stale[d])
#endif

#define MAY_QUEUE (!deadline_passed && !stale[d] && !knows_leaving[d])

inline say_not_run()
{
#ifndef ONLY_T1
	assert(!ran[t]);                           /* T2: it has not run */
#endif
	said_not_run[t] = true
}

/* Closed permanently: a duplicate of the request that is still in flight must not be
 * dispatched after the caller has read `not_run`. */
inline close_not_run()
{
#ifndef NO_CLOSE
	ticket[IX] = NOT_RUN;
#endif
	say_not_run()
}

inline put_on_wire()
{
#if !defined(SPLIT_CHECK) || defined(STRICT_TIME)
	assert(!deadline_passed);                  /* T3 */
	assert(!leave_bound_passed);               /* T4 */
#endif
	wire[WIRE(attempt[IX])] = ON_THE_WAY
}

/* Daemon d, as far as ticket t is concerned. Each option is one atomic step. */
proctype Daemon(byte d, t)
{
end:
	do
	/* A request without a ticket gets one that names this incarnation. */
	:: atomic { !frozen[d] && !stale[d] && ((!issued[t] && (t == 0 -> d == 0 : issued[0])) || MAY_ISSUE) ->
		issued[t] = true;
		home_daemon[t] = d;
		home_incarnation[t] = incarnation[d];
		ticket[IX] = ISSUED;
		attempt[IX] = 0
	   }

	/* The home dispatches. The ticket changes before the first byte can be written, so
	 * that no step reads ISSUED and reports `not_run` while bytes are in flight. */
	:: atomic { !frozen[d] && IS_HOME && used[t] && ticket[IX] == ISSUED && write_state[IX] == IDLE && MAY_QUEUE ->
#ifndef NO_DISPATCH_MARK
		ticket[IX] = DISPATCHED;
#endif
		write_state[IX] = QUEUED
	   }

	/* The home refuses: overload, drain, cancelled by the caller, or expired. */
	:: atomic { !frozen[d] && IS_HOME && used[t] && ticket[IX] == ISSUED -> close_not_run() }

	/* The home answers again with the stored outcome. */
	:: atomic { !frozen[d] && IS_HOME && used[t] && ticket[IX] == NOT_RUN && !said_not_run[t] -> say_not_run() }

#ifdef NO_FORGOTTEN_UNKNOWN
	/* Guard removed: a ticket that names this incarnation but is no longer in memory is
	 * treated as a new one. With the guard the answer is `unknown` and nothing changes. */
	:: atomic { !frozen[d] && IS_HOME && used[t] && ticket[IX] == ABSENT -> ticket[IX] = ISSUED; attempt[IX] = 0 }
#endif

#ifdef NO_HOME
	/* Guard removed: a daemon that considers the home dead dispatches. With the
	 * guard it forwards or answers `unknown`, and nothing changes here. */
	:: atomic { !frozen[d] && issued[t] && !IS_HOME && used[t] && ticket[IX] == ABSENT && write_state[IX] == IDLE && MAY_QUEUE ->
		ticket[IX] = DISPATCHED;
		attempt[IX] = 0;
		write_state[IX] = QUEUED
	   }
#endif

	/* Traffic thread: deadline and age of the view are checked when the bytes are
	 * written, because the process may have been frozen since the write was queued and
	 * may run this thread before the control tick. */
	:: atomic { !frozen[d] && write_state[IX] == QUEUED && IN_TIME && IS_FRESH ->
#ifdef SPLIT_CHECK
		write_state[IX] = CHECKED
	   }
	:: atomic { !frozen[d] && write_state[IX] == CHECKED ->
#endif
		put_on_wire();
#ifdef NO_DISPATCH_MARK
		write_state[IX] = UNMARKED
#else
		write_state[IX] = IDLE
#endif
	   }
#ifdef NO_DISPATCH_MARK
	:: atomic { !frozen[d] && write_state[IX] == UNMARKED ->
		ticket[IX] = (ticket[IX] == ISSUED -> DISPATCHED : ticket[IX]);
		write_state[IX] = IDLE
	   }
#endif
	:: atomic { !frozen[d] && write_state[IX] == QUEUED && !(IN_TIME && IS_FRESH) ->
		ticket[IX] = (ticket[IX] == DISPATCHED -> UNKNOWN : ticket[IX]);
		write_state[IX] = IDLE
	   }

	/* The deadline passes, or the connection breaks or looks broken: it may have run. */
	:: atomic { !frozen[d] && ticket[IX] == DISPATCHED && (deadline_passed || wire[WIRE(attempt[IX])] != UNSENT) ->
		ticket[IX] = UNKNOWN
	   }
#ifdef NO_BREAK_UNKNOWN
	/* Guard removed: the request is sent again on a new connection. */
	:: atomic { !frozen[d] && ticket[IX] == DISPATCHED && attempt[IX] == 0 && wire[WIRE(0)] != UNSENT && write_state[IX] == IDLE && MAY_QUEUE ->
		attempt[IX] = 1;
		write_state[IX] = QUEUED
	   }
#endif

	/* The target refuses, and the refusal echoes the attempt: a second copy of an earlier
	 * refusal does not refer to the current attempt. The home closes the ticket or makes
	 * another attempt. */
#ifdef NO_ATTEMPT_ID
	:: atomic { !frozen[d] && ticket[IX] == DISPATCHED && (wire[WIRE(0)] == REFUSED || wire[WIRE(1)] == REFUSED) ->
#else
	:: atomic { !frozen[d] && ticket[IX] == DISPATCHED && wire[WIRE(attempt[IX])] == REFUSED ->
#endif
		if
		:: close_not_run()
		:: attempt[IX] == 0 && write_state[IX] == IDLE && MAY_QUEUE -> attempt[IX] = 1; write_state[IX] = QUEUED
		fi
	   }

	:: atomic { !frozen[d] && ticket[IX] == DISPATCHED && wire[WIRE(attempt[IX])] == RAN ->
		ticket[IX] = COMPLETED;
#ifdef WITNESS_COMPLETED
		assert(false);
#endif
#ifdef WITNESS_SECOND_TICKET
		assert(!(t == 1 && said_not_run[0]));
#endif
#ifdef WITNESS_SECOND_ATTEMPT
		assert(attempt[IX] == 0);
#endif
		skip
	   }

	/* The outcome is kept for a limited time only. */
	:: atomic { !frozen[d] && ticket[IX] >= NOT_RUN && write_state[IX] == IDLE -> ticket[IX] = ABSENT }
	od
}

/* The target, for attempt a of ticket t as written by daemon d. */
proctype Target(byte d, t, a)
{
end:
	do
	:: atomic { wire[WIRE(a)] == ON_THE_WAY -> wire[WIRE(a)] = REFUSED }
	:: atomic { wire[WIRE(a)] == ON_THE_WAY ->
		wire[WIRE(a)] = RAN;
#ifndef ONLY_T1
		assert(!said_not_run[t]);              /* T2: nor will it ever run */
#endif
		assert(!ran[0] && !ran[1]);            /* T1 */
		ran[t] = true
	   }
	od
}

/* The caller keeps its ticket until it reads an outcome. Only after `not_run` may it take
 * another; after `unknown` it stops and reports that to its user. */
proctype Caller(byte t)
{
end:
	do
	:: atomic { held == NONE && issued[t] && !used[t] -> held = t; used[t] = true }
	:: atomic { held == t && said_not_run[t] -> held = NONE }
#ifdef NO_TICKET_KEPT
	:: atomic { held == t -> held = NONE }
#endif
	od
}

/* Faults of daemon d, and its control tick. */
proctype Life(byte d)
{
	byte t;
end:
	do
	:: atomic { incarnation[d] == 0 ->
		incarnation[d] = 1;
		frozen[d] = false;
		stale[d] = false;
		knows_leaving[d] = leaving;
		for (t : 0 .. NT - 1) {
			ticket[IX] = ABSENT;
			attempt[IX] = 0;
			write_state[IX] = IDLE
		}
		t = 0
	   }
	:: atomic { !frozen[d] && freezes < FREEZES -> freezes++; frozen[d] = true }
	:: atomic { frozen[d] -> frozen[d] = false; stale[d] = true }
	/* The tick detects the gap: it reads the view again and drops the writes queued under
	 * the old one, else the write would pass the freshness check with an outdated choice of
	 * target. The ticket becomes UNKNOWN, not NOT_RUN: the traffic thread may already have
	 * passed its check. */
	:: atomic { !frozen[d] && stale[d] ->
		stale[d] = false;
		knows_leaving[d] = leaving;
#ifndef NO_GAP_DROP
		for (t : 0 .. NT - 1) {
			if
			:: write_state[IX] == QUEUED || write_state[IX] == CHECKED ->
				write_state[IX] = (write_state[IX] == QUEUED -> IDLE : CHECKED);
				if
				:: ticket[IX] == DISPATCHED ->
#ifdef DROP_SAYS_NOT_RUN
					close_not_run()
#else
					ticket[IX] = UNKNOWN
#endif
				:: else
				fi
			:: else
			fi
		}
		t = 0
#endif
	   }
	:: atomic { leaving && !knows_leaving[d] && !frozen[d] && !stale[d] -> knows_leaving[d] = true }
	od
}

/* Daemon x knows that the target is leaving and has no write queued; or it does not run. */
#define SETTLED(x) (frozen[x] || stale[x] || (knows_leaving[x] && write_state[(x) * NT] == IDLE && write_state[(x) * NT + 1] == IDLE))

proctype Time()
{
end:
	do
	:: atomic { !deadline_passed -> deadline_passed = true }
	:: atomic { !leaving -> leaving = true }
	:: atomic { leaving && !leave_bound_passed && SETTLED(0) && SETTLED(1) -> leave_bound_passed = true }
	od
}

init {
	byte d;
	byte t;
	atomic {
		for (d : 0 .. ND - 1) {
			for (t : 0 .. NT - 1) {
				run Daemon(d, t);
				run Target(d, t, 0);
				run Target(d, t, 1)
			}
			run Life(d)
		}
		run Caller(0);
		run Caller(1);
		run Time();
		d = 0; t = 0
	}
}
