/*
 * Replicated log and leadership with replacement of a lost disk.
 *
 * A node is a disk identity, not a host: when a disk is lost its node is dead
 * for good and a fresh node with an empty log takes its place. The fresh node
 * counts towards a quorum only after a committed change of membership.
 *
 * Messages are not stored. An append may deliver any prefix of the leader's
 * log, a vote may be cast at any time while the candidacy lasts, and a deposed
 * leader goes on acting until it hears of a newer term. That covers lost,
 * delayed, duplicated and reordered messages.
 *
 * Checked: one leader a term (election safety), a leader holds every committed
 * entry (leader completeness), an index is committed with one entry only
 * (state machine safety).
 *
 * Guards, each removed by defining:
 *   NO_IDENTITY  a lost disk keeps its identity and forgets vote and log
 *   NO_SYNC      a vote is answered before it is synced; a crash forgets it
 *   NO_UPTODATE  votes ignore how far the candidate's log reaches
 *   NO_OWN_TERM  a leader commits entries of earlier terms by counting
 *   NO_SERIAL    membership changes may overlap
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define NODES (3 + LOSSES)
#define NONE 15

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Node {
	byte term;
	byte voted;           /* node voted for in term, or NONE */
	byte role;
	byte votes;           /* set of nodes that voted for this candidate */
	byte length;
	byte entry[LENGTH];   /* term of each entry */
	byte config[LENGTH];  /* membership set by the entry, 0 if it sets none */
	byte acked[LENGTH];   /* leader: set of nodes that hold the entry */
	byte commit;          /* leader: number of entries it knows as committed */
	bit alive;
};
Node n[NODES];

byte elected[TERMS + 1];   /* leader of each term, NONE before */
byte committed[LENGTH];    /* term of the committed entry at each index, 0 before */
byte config_at[LENGTH];    /* its membership change */
byte committed_in[LENGTH]; /* term of the leader that committed it first */
byte losses;

byte i, j, k, c, count;

inline config_of(x) {      /* c := latest membership in the log of x */
	c = 7; k = 0;
	do
	:: k < n[x].length -> if :: n[x].config[k] -> c = n[x].config[k] :: else fi; k++
	:: else -> break
	od
}

inline count_bits(set) {   /* count := members of c that are in set */
	count = 0; k = 0;
	do
	:: k < NODES -> if :: (set & c & (1 << k)) -> count++ :: else fi; k++
	:: else -> break
	od
}

#define size_of_c ((c & 1) + ((c >> 1) & 1) + ((c >> 2) & 1) + ((c >> 3) & 1) + ((c >> 4) & 1))

inline clear_role(x) {
	n[x].role = FOLLOWER; n[x].votes = 0; n[x].commit = 0; k = 0;
	do :: k < LENGTH -> n[x].acked[k] = 0; k++ :: else -> break od
}

inline pick(x) {           /* any node that is alive */
	x = 0;
	do :: x < NODES - 1 -> x++ :: break od
}

inline campaign() {
	config_of(i);
	if
	:: n[i].term < TERMS && n[i].role != LEADER && (c & (1 << i)) ->
		clear_role(i);
		n[i].term++; n[i].voted = i; n[i].role = CANDIDATE; n[i].votes = (1 << i)
	:: else
	fi
}

#define last_term(x) (n[x].length -> n[x].entry[n[x].length - 1] : 0)
#ifdef NO_UPTODATE
#define up_to_date(x, y) true
#else
#define up_to_date(x, y) (last_term(x) > last_term(y) || (last_term(x) == last_term(y) && n[x].length >= n[y].length))
#endif

inline vote() {            /* j votes for i */
	if
	:: i != j && n[i].role == CANDIDATE &&
	   (n[j].term < n[i].term || (n[j].term == n[i].term && n[j].role == FOLLOWER && n[j].voted == NONE)) &&
	   up_to_date(i, j) ->
		if :: n[j].term < n[i].term -> clear_role(j) :: else fi;
		n[j].term = n[i].term; n[j].voted = i;
		n[i].votes = n[i].votes | (1 << j)
	:: else
	fi
}

inline lead() {
	config_of(i); count_bits(n[i].votes);
	if
	:: n[i].role == CANDIDATE && count * 2 > size_of_c ->
		assert(elected[n[i].term] == NONE || elected[n[i].term] == i);
		elected[n[i].term] = i;
		k = 0;
		do
		:: k < LENGTH ->
			assert(committed[k] == 0 || committed_in[k] >= n[i].term || (k < n[i].length && n[i].entry[k] == committed[k] && n[i].config[k] == config_at[k]));
			k++
		:: else -> break
		od;
		n[i].role = LEADER; n[i].votes = 0;
		/* entries of earlier terms are known to be held by the leader only */
		k = 0;
		do :: k < n[i].length -> n[i].acked[k] = (1 << i); k++ :: else -> break od
	:: else
	fi
}

inline put(conf) {         /* the leader i appends an entry */
	n[i].entry[n[i].length] = n[i].term;
	n[i].config[n[i].length] = conf;
	n[i].acked[n[i].length] = (1 << i);
	n[i].length++
}

inline append_plain() {
	if :: n[i].role == LEADER && n[i].length < LENGTH -> put(0) :: else fi
}

/* A leader may change the membership once it has committed an entry of its
 * own term and no earlier change is uncommitted. */
inline change(pending) {
	pending = 0; k = 0;
	do
	:: k < n[i].length -> if :: k >= n[i].commit && n[i].config[k] -> pending = 1 :: else fi; k++
	:: else -> break
	od;
#ifdef NO_SERIAL
	pending = 0;
#else
	if :: n[i].commit == 0 || n[i].entry[n[i].commit - 1] != n[i].term -> pending = 1 :: else fi;
#endif
	config_of(i);
	if
	:: n[i].role == LEADER && n[i].length < LENGTH && !pending ->
		if
		:: (c & (1 << j)) && !n[j].alive -> c = c & (255 - (1 << j)); put(c)
		:: !(c & (1 << j)) && n[j].alive && size_of_c < 3 -> c = c | (1 << j); put(c)
		:: else
		fi
	:: else
	fi
}

inline deliver(upto) {     /* j takes the first upto entries of leader i */
	if
	:: i != j && n[i].role == LEADER && n[j].term <= n[i].term ->
		if :: n[j].term < n[i].term || n[j].role == CANDIDATE ->
			if :: n[j].term < n[i].term -> n[j].voted = NONE :: else fi;
			clear_role(j); n[j].term = n[i].term
		:: else fi;
		if :: upto < n[i].length -> count = upto :: else -> count = n[i].length fi;
		/* a conflicting entry and all that follow it are cut off */
		k = 0;
		do
		:: k < count ->
			if
			:: k < n[j].length && n[j].entry[k] != n[i].entry[k] ->
				n[j].length = k
			:: else
			fi;
			if
			:: k >= n[j].length ->
				n[j].entry[k] = n[i].entry[k]; n[j].config[k] = n[i].config[k]; n[j].length = k + 1
			:: else
			fi;
			n[i].acked[k] = n[i].acked[k] | (1 << j);
			k++
		:: else -> break
		od;
		k = n[j].length;
		do :: k < LENGTH -> n[j].entry[k] = 0; n[j].config[k] = 0; k++ :: else -> break od
	:: else
	fi
}

inline advance(upto) {
	config_of(i);
	upto = n[i].length;
	do
	:: upto > n[i].commit ->
		count_bits(n[i].acked[upto - 1]);
#ifdef NO_OWN_TERM
		if :: count * 2 > size_of_c -> break :: else -> upto-- fi
#else
		if :: count * 2 > size_of_c && n[i].entry[upto - 1] == n[i].term -> break :: else -> upto-- fi
#endif
	:: else -> break
	od;
	if
	:: n[i].role == LEADER && upto > n[i].commit ->
		n[i].commit = upto; k = 0;
		do
		:: k < upto ->
			assert(committed[k] == 0 || (committed[k] == n[i].entry[k] && config_at[k] == n[i].config[k]));
			if :: committed[k] == 0 -> committed_in[k] = n[i].term :: else fi;
			committed[k] = n[i].entry[k]; config_at[k] = n[i].config[k];
			k++
		:: else -> break
		od
	:: else
	fi
}

inline crash() {           /* restart with what was synced */
	clear_role(j);
#ifdef NO_SYNC
	n[j].voted = NONE
#endif
}

inline lose_disk() {
	if
	:: losses < LOSSES ->
		clear_role(j);
		n[j].voted = NONE; n[j].term = 0; n[j].length = 0; k = 0;
		do :: k < LENGTH -> n[j].entry[k] = 0; n[j].config[k] = 0; k++ :: else -> break od;
#ifndef NO_IDENTITY
		n[j].alive = 0;
		n[3 + losses].alive = 1;
#endif
		losses++
	:: else
	fi
}

init {
	byte upto;
	d_step {
		i = 0;
		do
		:: i < NODES -> n[i].voted = NONE; n[i].alive = (i < 3); i++
		:: else -> break
		od;
		i = 0;
		do :: i <= TERMS -> elected[i] = NONE; i++ :: else -> break od;
		i = 0; j = 0; k = 0; c = 0; count = 0
	}
	do
	:: atomic {
		pick(i); pick(j);
		do :: upto < LENGTH -> upto++ :: break od;
		if
		:: n[i].alive ->
			if
			:: upto == 0 && j == 0 -> d_step { campaign(); skip }
			:: upto == 0 && n[j].alive -> d_step { vote(); skip }
			:: upto == 0 && j == 0 -> d_step { lead(); skip }
			:: upto == 0 && j == 0 -> d_step { append_plain(); skip }
			:: upto == 0 -> d_step { change(upto); skip }
			:: n[j].alive -> d_step { deliver(upto); skip }
			:: upto == 0 && j == 0 -> d_step { advance(upto); skip }
			:: upto == 0 && i == j -> d_step { crash(); skip }
			:: upto == 0 && i == j -> d_step { lose_disk(); skip }
			:: else
			fi
		:: else
		fi;
		d_step { i = 0; j = 0; k = 0; c = 0; count = 0; upto = 0 }
	}
	od
}
