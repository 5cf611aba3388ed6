package event

import "go.uber.org/zap/zapcore"

// Events of the replicated log.
var (
	GroupFounded      = define(200, zapcore.InfoLevel, "control group founded", "This replica stored the founding membership of a new control group.")
	FoundingRefused   = define(201, zapcore.WarnLevel, "founding refused", "The founder's list of members differs from this replica's settings; make the settings alike.")
	ElectionStarted   = define(202, zapcore.InfoLevel, "election started", "This replica heard of no leader and asks for votes in a new term.")
	LeadershipWon     = define(203, zapcore.InfoLevel, "leadership won", "This replica leads the control group in the term.")
	LeadershipLost    = define(204, zapcore.WarnLevel, "leadership lost", "This replica no longer leads; frequent changes point to a slow disk or network.")
	LeaderFound       = define(205, zapcore.InfoLevel, "leader found", "This replica follows the leader.")
	LearnerAdded      = define(206, zapcore.InfoLevel, "non-voter added", "A replica with a new disk receives the log and does not vote yet.")
	VoterAdded        = define(207, zapcore.InfoLevel, "voter added", "A replica that has caught up becomes a voter.")
	MemberRemoved     = define(208, zapcore.WarnLevel, "member removed", "An identity leaves the control group; its messages are ignored from now on.")
	MemberAllowed     = define(209, zapcore.InfoLevel, "name allowed again", "An operator lets a name that was removed for good join again.")
	JoinRefused       = define(210, zapcore.WarnLevel, "join refused", "A replica asked to join whose name is not in the settings or was removed for good.")
	SnapshotTaken     = define(211, zapcore.InfoLevel, "snapshot taken", "The state was saved and older log segments can be removed.")
	SnapshotSent      = define(212, zapcore.InfoLevel, "snapshot sending", "A replica is too far behind for the log and receives the snapshot.")
	SnapshotInstalled = define(213, zapcore.InfoLevel, "snapshot installed", "This replica was too far behind and took over the leader's snapshot.")
	ReplicaStarted    = define(214, zapcore.InfoLevel, "replica started", "The replica has read its disk.")
	WriteCut          = define(215, zapcore.WarnLevel, "interrupted write cut", "The last write before a crash was incomplete and never answered; it was removed.")
	VotersMissing     = define(217, zapcore.WarnLevel, "voters missing", "Voters have not answered the leader for a second, so that the group tolerates fewer further losses; the line names them and says why none has taken their place.")
	VotersComplete    = define(218, zapcore.InfoLevel, "voters complete", "All voters answer the leader again, or others have taken their place.")
	NotAdmitted       = define(219, zapcore.WarnLevel, "not admitted", "This replica has asked for some time to be admitted to the control group and is not a member; the line counts the replicas that answered and names the silent ones. If none answers, check its seeds.")
	ReplicaSlow       = define(220, zapcore.WarnLevel, "replica slow", "This replica woke late, or a write to its log took long, by more than a heartbeat since the last such line; the others may elect another leader. A late wake-up points to the processor, a long sync to the disk.")
	GroupGivenUp      = define(221, zapcore.WarnLevel, "founding given up", "This replica was elected in a founding and lost the others before anything was committed; it takes part in another founding, or joins the group that the others have founded.")
	ReplicaFailed     = define(216, zapcore.ErrorLevel, "replica failed", "The disk failed or its data is damaged; replace the disk, the replica then joins as a new one.")
)
