/*
 * Orders to a target (load a model, an adapter, a version; change role).
 *
 * Two records decide what the target should hold. Each starts at revision 1; record X is
 * then published at revision 3 and record Y at revision 2, in any order as seen by the
 * daemons. What a daemon knows is the set of the two changes it has taken, as two bits,
 * and the desired state is a function of this set alone.
 *
 * Properties (assertions)
 *   O1  FENCES: within one run of the target no order takes effect after one with a
 *       higher fence, nor after one that was made from strictly more of the same records
 *   O2  once every running daemon has had a change for longer than the freshness bound
 *       plus the lifetime of a message, no order made without that change is written
 *   O3  once faults stop, the target holds the desired state of all published records
 *
 * Faults included
 *   freeze and resume     an order that was queued before the freeze is written after it;
 *                         a resumed daemon decides from what it knew before
 *   crash and restart     of a daemon: queue lost, records read again from platform and
 *                         peers; of the target: state and fence lost
 *   loss, duplication,    orders in flight form a set: delivered in any order, at any
 *   reordering            time, lost, or duplicated any number of times
 *   two views             until the views agree again, any daemon may consider itself the
 *                         highest ranked at any time, so none, one or both of them send
 *
 * Bounds: 2 daemons, 2 record changes, FREEZES freezes, CRASHES crashes of a daemon,
 * 1 crash of the target.
 */

#ifndef FREEZES
#define FREEZES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define ND 2
#define ALL 3
#define NO_ORDER 4         /* an order is named by the set of changes it was made from */
#define EMPTY 4            /* the target holds nothing */

/* The fence must grow strictly when one more change is taken, in any order in which the
 * changes arrive. The sum of the revisions does; the highest revision does not. */
#ifdef FENCE_IS_HIGHEST
#define FENCE(s) (((s) & 1) -> 3 : (((s) & 2) -> 2 : 1))
#else
#define FENCE(s) ((((s) & 1) -> 3 : 1) + (((s) & 2) -> 2 : 1))
#endif

#define SUBSET(a, b) (((a) | (b)) == (b))

byte known[ND];            /* changes in force at the daemon */
byte queued[ND] = NO_ORDER;
bool too_old[ND];          /* the queued order is past its freshness bound */
bool frozen[ND];
bool stale[ND];            /* resumed, but the control tick has not detected the gap yet */
#ifdef NO_REPEAT
byte last_sent[ND] = NO_ORDER;
#endif

#ifdef SPLIT_CHECK
bool checked[ND];          /* checked but not yet written: check and write are two steps */
#define IS_CHECKED(d) checked[d]
#else
#define IS_CHECKED(d) false
#endif
#ifdef COUNT_REPEATS
byte repeats;              /* observer: orders written since faults stopped */
#endif

byte on_the_way;           /* set of orders, one bit each */
byte leader;               /* the daemon that ranks highest once the views agree */
byte held = EMPTY;         /* state of the target, which it also reports */
byte fence;                /* highest fence the target has honoured */

byte settled;              /* observer: changes that count for O2 */
bool change_took_effect;   /* observers for O1 */
bool all_took_effect;
byte freezes;
byte crashes;
bool target_died;
bool healed;

#define ON_THE_WAY(order) (on_the_way & (1 << (order)))
#define PUT(order) on_the_way = on_the_way | (1 << (order))
#define TAKE(order) on_the_way = on_the_way & (15 - (1 << (order)))
#define LEADS(d) (!healed || leader == d)

#ifdef NO_FRESHNESS
#define IS_FRESH(d) true
#else
#define IS_FRESH(d) (!too_old[d])
#endif

#ifdef NO_GAP_REFRESH
#define MAY_DECIDE(d) true
#else
#define MAY_DECIDE(d) (!stale[d])
#endif

proctype Daemon(byte d)
{
end:
	do
	/* Read the state of the target, compare, and queue an order if it differs. */
	:: atomic { !frozen[d] && MAY_DECIDE(d) && LEADS(d) && queued[d] == NO_ORDER && held != known[d] &&
#ifdef NO_REPEAT
			last_sent[d] != known[d] &&
#endif
			(!healed || !ON_THE_WAY(known[d])) ->
		queued[d] = known[d];
		too_old[d] = false
#ifdef NO_REPEAT
		; last_sent[d] = known[d]
#endif
	   }

	/* Write the order if it is still fresh when the bytes are written: the daemon may have
	 * been frozen since it was queued, and another order may have taken effect meanwhile. */
	:: atomic { !frozen[d] && queued[d] != NO_ORDER && IS_FRESH(d) && !IS_CHECKED(d) ->
#ifdef SPLIT_CHECK
		checked[d] = true
	   }
	:: atomic { !frozen[d] && IS_CHECKED(d) ->
		checked[d] = false;
#endif
#if !defined(SPLIT_CHECK) || defined(STRICT_TIME)
		assert(SUBSET(settled, queued[d]));              /* O2 */
#endif
#ifdef COUNT_REPEATS
		repeats = (healed -> repeats + 1 : 0);
		assert(repeats <= COUNT_REPEATS);
#endif
		PUT(queued[d]);
		queued[d] = NO_ORDER;
		too_old[d] = false
	   }
	:: atomic { !frozen[d] && queued[d] != NO_ORDER && !IS_FRESH(d) && !IS_CHECKED(d) ->
		queued[d] = NO_ORDER;
		too_old[d] = false
	   }

	/* A change arrives, from the platform or from a peer. */
	:: atomic { !frozen[d] && !stale[d] && !(known[d] & 1) -> known[d] = known[d] | 1 }
	:: atomic { !frozen[d] && !stale[d] && !(known[d] & 2) -> known[d] = known[d] | 2 }

	/* The control tick detects the gap after a freeze and refreshes the records. */
	:: atomic { !frozen[d] && stale[d] ->
		stale[d] = false;
		known[d] = known[d] | settled
	   }
	od
}

/* An order arrives; until faults stop, a second copy may stay in flight. */
inline arrive(order)
{
	if
	:: TAKE(order)
	:: !healed -> skip
	fi;
	if
#ifdef FENCES
#ifdef NO_FENCE
	:: true ->
#else
	:: FENCE(order) >= fence ->
#endif
		assert(FENCE(order) >= fence);                   /* O1 */
		assert(!(order == 0 && change_took_effect));
		assert(!(order < ALL && all_took_effect));
		change_took_effect = change_took_effect || order != 0;
		all_took_effect = all_took_effect || order == ALL;
		fence = (FENCE(order) > fence -> FENCE(order) : fence);
		held = order
#else
	:: true -> held = order
#endif
	:: else
	fi
}

proctype Target()
{
end:
	do
	:: atomic { ON_THE_WAY(0) -> arrive(0) }
	:: atomic { ON_THE_WAY(1) -> arrive(1) }
	:: atomic { ON_THE_WAY(2) -> arrive(2) }
	:: atomic { ON_THE_WAY(3) -> arrive(3) }
	:: atomic { !healed && ON_THE_WAY(0) -> TAKE(0) }
	:: atomic { !healed && ON_THE_WAY(1) -> TAKE(1) }
	:: atomic { !healed && ON_THE_WAY(2) -> TAKE(2) }
	:: atomic { !healed && ON_THE_WAY(3) -> TAKE(3) }
	:: atomic { !healed && !target_died ->
		target_died = true;
		held = EMPTY;
		fence = 0;
		change_took_effect = false;
		all_took_effect = false
	   }
	od
}

proctype Faults(byte d)
{
end:
	do
	:: atomic { !healed && !frozen[d] && freezes < FREEZES -> freezes++; frozen[d] = true }
	:: atomic { frozen[d] -> frozen[d] = false; stale[d] = true }
	:: atomic { !healed && crashes < CRASHES ->
		crashes++;
		frozen[d] = false;
		stale[d] = false;
		queued[d] = NO_ORDER;
		too_old[d] = false;
#ifdef SPLIT_CHECK
		checked[d] = false;
#endif
#ifdef NO_REPEAT
		last_sent[d] = NO_ORDER;
#endif
		known[d] = settled      /* as records.pml has it: at least what a peer has */
	   }
	od
}

/* Daemon d has these changes and no older order queued, or it does not run. */
#define HAS(d, c) (frozen[d] || stale[d] || (SUBSET(c, known[d]) && (queued[d] == NO_ORDER || SUBSET(c, queued[d]))))
#ifdef STRICT_PARTITION
#define ALL_HAVE(c) (HAS(0, c) || HAS(1, c))
#else
#define ALL_HAVE(c) (HAS(0, c) && HAS(1, c))
#endif
#define GONE(order, c) (!ON_THE_WAY(order) || SUBSET(c, order))

proctype Time()
{
	byte c;
end:
	do
	/* The freshness bound passes: every running daemon has had the change for that long,
	 * and an order that a frozen daemon had queued is too old. */
	:: atomic { !SUBSET(1, settled) || !SUBSET(2, settled) ->
		if
		:: c = 1
		:: c = 2
		:: c = 3
		fi;
		if
		:: ALL_HAVE(c) && GONE(0, c) && GONE(1, c) && GONE(2, c) &&
			(SUBSET(c, known[0]) || SUBSET(c, known[1])) ->
			settled = settled | c;
			too_old[0] = (queued[0] != NO_ORDER);
			too_old[1] = (queued[1] != NO_ORDER)
		:: else
		fi;
		c = 0
	   }
	:: atomic { !healed ->
		healed = true;
		if
		:: leader = 0
		:: leader = 1
		fi
	   }
	od
}

/* O3, when no step is left. */
proctype End()
{
	atomic { timeout ->
		assert(held == ALL)
#ifdef WITNESS_END
		; assert(!(target_died && freezes == FREEZES && crashes == CRASHES))
#endif
	}
}

init {
	atomic {
		run Daemon(0);
		run Daemon(1);
		run Faults(0);
		run Faults(1);
		run Target();
		run Time();
		run End()
	}
}
