/*
 * One configuration record, its revisions, and the daemons that put it in force.
 *
 * Properties (assertions)
 *   R1  within one incarnation the revision in force never goes back; so a deleted record
 *       does not reappear, and a record that was not deleted does not disappear
 *   R2  a new incarnation does not begin to serve below the revision that a peer had in
 *       force when it started, if that peer was reachable and serving all the time
 *   R3  once faults stop and links heal, all daemons converge to the same revision; if the
 *       platform is back too, it is the published one
 *
 * Faults included
 *   crash and restart       a daemon starts with empty memory
 *   stale platform          each read returns any revision published so far, or nothing;
 *                           it may never return the newest one before the end
 *   loss, duplication,      a revision that was ever in force somewhere may arrive at any
 *   reordering              daemon at any later time, any number of times, or never
 *   partition, two views    each daemon has its own view of which peers it sees and
 *                           reaches; it is arbitrary at the start of an incarnation and
 *                           changes at any time until the links heal. Only the start reads
 *                           it: at other times a cut link is equivalent to lost messages
 *   invalid revision        the last revision does not pass validation
 *
 * A freeze needs no steps of its own: every step of a daemon may be delayed without limit.
 *
 * Bounds: 3 daemons, 4 revisions of one record (value, tombstone, value, invalid),
 * CRASHES restarts in all.
 */

#ifndef CRASHES
#define CRASHES 2
#endif

#define N 3
#define LAST 4
#define TOMBSTONE 2
#define INVALID 4
#define LINK(i, j) link[(i) * N + (j)]
#define FLOOR(i, j) floor[(i) * N + (j)]

byte published;
bool healed;
bool platform_back;
byte crashes;

byte in_force[N];          /* revision; 0 is none */
bool serving[N];
bool asked[N * N];         /* answer of this peer received while starting */
bool link[N * N];
bool was_in_force[LAST + 1];

/* observers, not part of the protocol */
byte top[N];               /* highest revision in force in this incarnation */
byte floor[N * N];         /* what peer j had in force when i started */
byte fleet_top;

#ifdef JOIN_BEFORE_VALIDATE
bool holds_invalid[N];
#endif

#ifdef NO_JOIN
#define WINS(revision, d) (revision != in_force[d])
#else
#define WINS(revision, d) (revision > in_force[d])
#endif

/* A revision reaches daemon d. The join takes the highest one, in any order of arrival;
 * a tombstone is kept like a value, so that a late copy of an older value does not replace
 * it. Validity depends on the bytes alone and is checked before the join: an invalid
 * revision replaces nothing. */
inline take(d, revision)
{
	if
	:: revision == INVALID ->
#ifdef JOIN_BEFORE_VALIDATE
		holds_invalid[d] = true
#endif
		skip
	:: revision != INVALID && revision != 0 && WINS(revision, d) ->
		assert(!serving[d] || revision >= top[d]);      /* R1 */
		top[d] = (revision > top[d] -> revision : top[d]);
#ifdef NO_TOMBSTONE
		in_force[d] = (revision == TOMBSTONE -> 0 : revision);
#else
		in_force[d] = revision;
#endif
#ifdef STRICT_FLEET
		fleet_top = (serving[d] && revision > fleet_top -> revision : fleet_top);
#endif
		was_in_force[revision] = true
	:: else
	fi
}

inline take_from_platform(d, revision)
{
#ifdef ABSENCE_DELETES
	if
	:: revision == 0 && in_force[d] != 0 ->
		assert(!serving[d] || in_force[d] == TOMBSTONE); /* R1: it was not deleted */
		in_force[d] = 0
	:: else
	fi;
#endif
	take(d, revision)
}

inline take_from_peer(d, peer)
{
#ifdef JOIN_BEFORE_VALIDATE
	if
	:: holds_invalid[peer] -> holds_invalid[d] = true
	:: else -> take(d, in_force[peer])
	fi
#else
	take(d, in_force[peer])
#endif
}

#define HEARD(d, j) ((j) == (d) || asked[(d) * N + (j)] || !LINK(d, j) || !serving[j])

#ifdef NO_PEERS_AT_START
#define MAY_SERVE(d) true
#else
#define MAY_SERVE(d) (HEARD(d, 0) && HEARD(d, 1) && HEARD(d, 2))
#endif

proctype Daemon(byte d)
{
	byte r;
	byte j;
end:
	do
	/* A read or a watch event, while the platform may be stale. */
	:: atomic { !healed -> select(r : 0 .. LAST);
		if
		:: r <= published -> take_from_platform(d, r)
		:: else
		fi;
		r = 0
	   }
	/* A push by a peer, sent at any earlier time. */
	:: atomic { !healed -> select(r : 1 .. LAST);
		if
		:: was_in_force[r] -> take(d, r)
		:: else
		fi;
		r = 0
	   }
	/* Starting: query the peers as well, since the platform may be stale. */
	:: atomic { !serving[d] -> select(j : 0 .. N - 1);
		if
		:: j != d && LINK(d, j) && serving[j] && !asked[d * N + j] ->
			asked[d * N + j] = true;
			take_from_peer(d, j)
		:: else
		fi;
		j = 0
	   }
	/* Serve once each peer that is seen, reached and serving has answered. */
	:: atomic { !serving[d] && MAY_SERVE(d) ->
		for (j : 0 .. N - 1) {
			assert(in_force[d] >= FLOOR(d, j));             /* R2 */
			FLOOR(d, j) = 0;
			asked[d * N + j] = false
		}
		j = 0;
#ifdef STRICT_FLEET
		assert(in_force[d] >= fleet_top);
		fleet_top = (in_force[d] > fleet_top -> in_force[d] : fleet_top);
#endif
		top[d] = in_force[d];
		for (j : 0 .. N - 1) {
			LINK(d, j) = false
		}
		j = 0;
		serving[d] = true
	   }

	/* After the faults: the slow poll of the platform, and anti-entropy with peers.
	 * Pushes and watch events of the time before may all have been lost. */
#ifndef NO_POLL
	:: atomic { healed && platform_back && published != INVALID && published > in_force[d] ->
		take_from_platform(d, published)
	   }
#endif
#ifndef NO_ANTI_ENTROPY
	:: atomic { healed && serving[d] && in_force[(d + 1) % N] > in_force[d] -> take_from_peer(d, (d + 1) % N) }
	:: atomic { healed && serving[d] && in_force[(d + 2) % N] > in_force[d] -> take_from_peer(d, (d + 2) % N) }
#endif
	od
}

proctype Faults()
{
	byte i;
	byte j;
end:
	do
	:: atomic { !healed && published < LAST -> published++ }
	:: atomic { !healed && crashes < CRASHES -> select(i : 0 .. N - 1);
		crashes++;
		serving[i] = false;
		in_force[i] = 0;
		top[i] = 0;
#ifdef JOIN_BEFORE_VALIDATE
		holds_invalid[i] = false;
#endif
		for (j : 0 .. N - 1) {
			asked[i * N + j] = false;
			FLOOR(j, i) = 0;
			if
			:: LINK(i, j) = (i != j)
			:: LINK(i, j) = false
			fi;
			FLOOR(i, j) = (LINK(i, j) && serving[j] -> in_force[j] : 0)
		}
		i = 0; j = 0
	   }
	:: atomic { !healed -> select(i : 0 .. N - 1); select(j : 0 .. N - 1);
		if
		:: i != j && !serving[i] ->
			LINK(i, j) = !LINK(i, j);
			FLOOR(i, j) = 0
		:: else
		fi;
		i = 0; j = 0
	   }
	:: atomic { !healed ->
		healed = true;
		if
		:: platform_back = true
		:: skip
		fi;
		for (i : 0 .. N - 1) {
			for (j : 0 .. N - 1) {
				LINK(i, j) = (i != j && !serving[i])
			}
		}
		i = 0; j = 0
	   }
	od
}

/* R3, when no step is left. */
proctype End()
{
	atomic { timeout ->
		assert(serving[0] && serving[1] && serving[2]);
		assert(in_force[0] == in_force[1] && in_force[1] == in_force[2]);
		assert(!platform_back || published == INVALID || in_force[0] == published)
#ifdef WITNESS_END
		; assert(!(platform_back && in_force[0] == 3 && crashes == CRASHES))
#endif
	}
}

init {
	byte i;
	atomic {
		for (i : 0 .. N - 1) {
			serving[i] = true;
			run Daemon(i)
		}
		run Faults();
		run End();
		i = 0
	}
}
