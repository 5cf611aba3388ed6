/*
 * Replicated log and leader election with replacement of a lost disk.
 *
 * A node is a disk identity, not a host: when a disk is lost, its node is
 * permanently dead and a new node with an empty log takes its place. The new node
 * counts towards a quorum only after a committed membership change.
 *
 * Messages are not stored. An append may deliver any prefix of the leader's log, a
 * vote may be cast at any time while the candidate campaigns, and a deposed leader
 * continues until it learns of a newer term. That covers lost, delayed, duplicated
 * and reordered messages.
 *
 * Invariants: one leader per term (election safety), a leader holds every committed
 * entry (leader completeness), only one entry is committed at an index (state
 * machine safety).
 *
 * Guards, each removed by defining:
 *   NO_IDENTITY  a lost disk keeps its identity and forgets vote and log
 *   NO_SYNC      a vote is answered before it is synced; a crash forgets it
 *   NO_UPTODATE  votes ignore whether the candidate's log is up to date
 *   NO_OWN_TERM  a leader commits entries of earlier terms by counting nodes
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
	byte voted;          /* node voted for in term, or NONE */
	byte role;
	byte votes;          /* set of nodes that voted for this candidate */
	byte length;
	byte entry[LENGTH];  /* term of each entry */
	byte config[LENGTH]; /* membership set by the entry, 0 if it sets none */
	byte acked[LENGTH];  /* leader: set of nodes that hold the entry */
	byte commit;         /* leader: number of entries known to be committed */
	bit alive;
};
Node node[NODES];

byte elected[TERMS + 1];   /* leader of each term, NONE before its election */
byte committed[LENGTH];    /* term of the committed entry at each index, 0 before */
byte config_at[LENGTH];    /* membership set by that entry */
byte committed_in[LENGTH]; /* term of the leader that first committed it */
byte losses;

byte i, j, k, members, count;

inline config_of(x) {  /* members = latest membership in the log of x */
	members = 7; k = 0;
	do
	:: k < node[x].length -> if :: node[x].config[k] -> members = node[x].config[k] :: else fi; k++
	:: else -> break
	od
}

inline count_bits(set) {  /* count = number of members that are in set */
	count = 0; k = 0;
	do
	:: k < NODES -> if :: (set & members & (1 << k)) -> count++ :: else fi; k++
	:: else -> break
	od
}

#define member_count ((members & 1) + ((members >> 1) & 1) + ((members >> 2) & 1) + ((members >> 3) & 1) + ((members >> 4) & 1))

inline reset_role(x) {
	node[x].role = FOLLOWER; node[x].votes = 0; node[x].commit = 0; k = 0;
	do :: k < LENGTH -> node[x].acked[k] = 0; k++ :: else -> break od
}

inline pick_node(x) {  /* any node */
	x = 0;
	do :: x < NODES - 1 -> x++ :: break od
}

inline campaign() {
	config_of(i);
	if
	:: node[i].term < TERMS && node[i].role != LEADER && (members & (1 << i)) ->
		reset_role(i);
		node[i].term++; node[i].voted = i; node[i].role = CANDIDATE; node[i].votes = (1 << i)
	:: else
	fi
}

#define last_term(x) (node[x].length -> node[x].entry[node[x].length - 1] : 0)
#ifdef NO_UPTODATE
#define up_to_date(x, y) true
#else
#define up_to_date(x, y) (last_term(x) > last_term(y) || (last_term(x) == last_term(y) && node[x].length >= node[y].length))
#endif

inline vote() {  /* j votes for i */
	if
	:: i != j && node[i].role == CANDIDATE &&
	   (node[j].term < node[i].term || (node[j].term == node[i].term && node[j].role == FOLLOWER && node[j].voted == NONE)) &&
	   up_to_date(i, j) ->
		if :: node[j].term < node[i].term -> reset_role(j) :: else fi;
		node[j].term = node[i].term; node[j].voted = i;
		node[i].votes = node[i].votes | (1 << j)
	:: else
	fi
}

inline become_leader() {
	config_of(i); count_bits(node[i].votes);
	if
	:: node[i].role == CANDIDATE && count * 2 > member_count ->
		assert(elected[node[i].term] == NONE || elected[node[i].term] == i);
		elected[node[i].term] = i;
		k = 0;
		do
		:: k < LENGTH ->
			assert(committed[k] == 0 || committed_in[k] >= node[i].term || (k < node[i].length && node[i].entry[k] == committed[k] && node[i].config[k] == config_at[k]));
			k++
		:: else -> break
		od;
		node[i].role = LEADER; node[i].votes = 0;
		/* the leader only knows that it holds the entries of earlier terms itself */
		k = 0;
		do :: k < node[i].length -> node[i].acked[k] = (1 << i); k++ :: else -> break od
	:: else
	fi
}

inline append_entry(conf) {  /* leader i appends an entry */
	node[i].entry[node[i].length] = node[i].term;
	node[i].config[node[i].length] = conf;
	node[i].acked[node[i].length] = (1 << i);
	node[i].length++
}

inline append_command() {
	if :: node[i].role == LEADER && node[i].length < LENGTH -> append_entry(0) :: else fi
}

/* Leader i removes or adds node j. It may do so once it has committed an entry of
 * its own term and no earlier change is uncommitted. */
inline change(pending) {
	pending = 0; k = 0;
	do
	:: k < node[i].length -> if :: k >= node[i].commit && node[i].config[k] -> pending = 1 :: else fi; k++
	:: else -> break
	od;
#ifdef NO_SERIAL
	pending = 0;
#else
	if :: node[i].commit == 0 || node[i].entry[node[i].commit - 1] != node[i].term -> pending = 1 :: else fi;
#endif
	config_of(i);
	if
	:: node[i].role == LEADER && node[i].length < LENGTH && !pending ->
		if
		:: (members & (1 << j)) && !node[j].alive -> members = members & (255 - (1 << j)); append_entry(members)
		:: !(members & (1 << j)) && node[j].alive && member_count < 3 -> members = members | (1 << j); append_entry(members)
		:: else
		fi
	:: else
	fi
}

inline deliver(upto) {  /* node j receives the first upto entries of leader i */
	if
	:: i != j && node[i].role == LEADER && node[j].term <= node[i].term ->
		if :: node[j].term < node[i].term || node[j].role == CANDIDATE ->
			if :: node[j].term < node[i].term -> node[j].voted = NONE :: else fi;
			reset_role(j); node[j].term = node[i].term
		:: else fi;
		if :: upto < node[i].length -> count = upto :: else -> count = node[i].length fi;
		/* a conflicting entry and all that follow are removed */
		k = 0;
		do
		:: k < count ->
			if
			:: k < node[j].length && node[j].entry[k] != node[i].entry[k] ->
				node[j].length = k
			:: else
			fi;
			if
			:: k >= node[j].length ->
				node[j].entry[k] = node[i].entry[k]; node[j].config[k] = node[i].config[k]; node[j].length = k + 1
			:: else
			fi;
			node[i].acked[k] = node[i].acked[k] | (1 << j);
			k++
		:: else -> break
		od;
		k = node[j].length;
		do :: k < LENGTH -> node[j].entry[k] = 0; node[j].config[k] = 0; k++ :: else -> break od
	:: else
	fi
}

inline advance(upto) {
	config_of(i);
	upto = node[i].length;
	do
	:: upto > node[i].commit ->
		count_bits(node[i].acked[upto - 1]);
#ifdef NO_OWN_TERM
		if :: count * 2 > member_count -> break :: else -> upto-- fi
#else
		if :: count * 2 > member_count && node[i].entry[upto - 1] == node[i].term -> break :: else -> upto-- fi
#endif
	:: else -> break
	od;
	if
	:: node[i].role == LEADER && upto > node[i].commit ->
		node[i].commit = upto; k = 0;
		do
		:: k < upto ->
			assert(committed[k] == 0 || (committed[k] == node[i].entry[k] && config_at[k] == node[i].config[k]));
			if :: committed[k] == 0 -> committed_in[k] = node[i].term :: else fi;
			committed[k] = node[i].entry[k]; config_at[k] = node[i].config[k];
			k++
		:: else -> break
		od
	:: else
	fi
}

inline crash() {  /* restart with what was synced */
	reset_role(j);
#ifdef NO_SYNC
	node[j].voted = NONE
#endif
}

inline lose_disk() {
	if
	:: losses < LOSSES ->
		reset_role(j);
		node[j].voted = NONE; node[j].term = 0; node[j].length = 0; k = 0;
		do :: k < LENGTH -> node[j].entry[k] = 0; node[j].config[k] = 0; k++ :: else -> break od;
#ifndef NO_IDENTITY
		node[j].alive = 0;
		node[3 + losses].alive = 1;
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
		:: i < NODES -> node[i].voted = NONE; node[i].alive = (i < 3); i++
		:: else -> break
		od;
		i = 0;
		do :: i <= TERMS -> elected[i] = NONE; i++ :: else -> break od;
		i = 0; j = 0; k = 0; members = 0; count = 0
	}
	do
	:: atomic {
		pick_node(i); pick_node(j);
		do :: upto < LENGTH -> upto++ :: break od;
		if
		:: node[i].alive ->
			if
			:: upto == 0 && j == 0 -> d_step { campaign(); skip }
			:: upto == 0 && node[j].alive -> d_step { vote(); skip }
			:: upto == 0 && j == 0 -> d_step { become_leader(); skip }
			:: upto == 0 && j == 0 -> d_step { append_command(); skip }
			:: upto == 0 -> d_step { change(upto); skip }
			:: node[j].alive -> d_step { deliver(upto); skip }
			:: upto == 0 && j == 0 -> d_step { advance(upto); skip }
			:: upto == 0 && i == j -> d_step { crash(); skip }
			:: upto == 0 && i == j -> d_step { lose_disk(); skip }
			:: else
			fi
		:: else
		fi;
		d_step { i = 0; j = 0; k = 0; members = 0; count = 0; upto = 0 }
	}
	od
}
