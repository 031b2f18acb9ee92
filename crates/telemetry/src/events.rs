//! The table of all numbered log events.
//!
//! Operators' alerts match on the numbers, so a number is never reused.
//! `docs/logs.md` holds the same rows, and `cargo xtask events` fails where they
//! differ.

use std::fmt;

use crate::LogLevel;

macro_rules! events {
    ($($name:ident $number:literal $level:ident $message:literal $meaning:literal)+) => {
        /// A numbered event of the log.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum Event {
            $(#[doc = $meaning] $name,)+
        }

        impl Event {
            /// All events, by number.
            pub const ALL: &[Event] = &[$(Event::$name),+];

            /// Returns the number, such as 1001 of `E1001`.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)+ }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub fn level(self) -> LogLevel {
                match self { $(Event::$name => LogLevel::$level,)+ }
            }

            /// Returns the fixed message of the log line.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self { $(Event::$name => $message,)+ }
            }

            /// Returns what the event means to an operator.
            #[must_use]
            pub fn meaning(self) -> &'static str {
                match self { $(Event::$name => $meaning,)+ }
            }
        }
    };
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}

events! {
    // 1xxx: the process itself.
    Started 1001 Info "started" "The process is up and listens."
    DrainBegun 1002 Info "drain begun" "A planned stop has begun: readiness is down, and new requests are still accepted during the grace period."
    DrainRefusing 1003 Info "drain refuses new work" "The grace period is over: new requests get `unavailable (not-run)`, running ones continue."
    Stopped 1004 Info "stopped" "The process shuts down cleanly; `running` is the number of requests that it aborted, which should be 0."
    StartFailed 1005 Error "start failed" "The process can't start; `why` gives the cause, such as what is missing."
    Overrun 1006 Warn "timer ran late" "The process was not scheduled for `late_ms`: the machine is overloaded or was suspended."

    LinesLeftOut 1007 Warn "log lines dropped" "The reader of standard output was too slow: `lines` log lines did not fit into the queue and are lost."
    SettingsRead 1008 Info "settings reloaded" "The settings have changed and were reloaded; `seeds` is the number of control instances that they name."
    SettingsBroken 1009 Error "settings can't be read" "The changed settings can't be read; `why` gives the reason. The previous ones stay in force."

    Failed 1010 Error "process failed" "The process ends by a failure; `why` gives the cause. Requests in progress are cut off."
    Panicked 1011 Error "panic" "A fault of the program: a thread or a task ended at `place`, `why` gives the message. The rest of the process goes on."
    HangupIgnored 1012 Info "hangup ignored" "SIGHUP was received. These settings are read at the start only, so nothing is reloaded and the process goes on."

    ClientLimited 1013 Warn "client met a limit" "A client met a limit that protects this process, and `others` did since the last such line: `what` is `request`, `body`, `stalled_body`, `head`, `unread_answer`, `message`, `idle`, `connection`, or `answer` for what a target sent and found no room; clients' requests hold `held` bytes of `most`. What was refused has not run, but for `answer`."

    // 2xxx: the replicated log.
    LeaderElected 2001 Info "leader elected" "A replica was elected leader of the log for `term`."
    LeaderLost 2002 Warn "leader lost" "A replica stopped being leader, or no longer hears from a leader."
    QuorumLost 2003 Error "no quorum" "The leader can't reach a majority: changes and marked requests (at most once, with an idempotency key) are refused (not run) until it can."
    QuorumBack 2004 Info "quorum back" "The leader reaches a majority again."
    SnapshotTaken 2005 Info "snapshot taken" "The log was compacted; `index` is the last entry that the snapshot covers."
    SnapshotInstalled 2006 Info "snapshot installed" "A replica that was far behind installed the leader's snapshot."
    MemberAdded 2007 Info "replica added" "A replica joined the voters of the log."
    MemberRemoved 2008 Info "replica removed" "A replica left the voters of the log."
    DiskFailed 2009 Error "disk failed" "A write or sync in the data folder failed: the replica takes no further part in replication until it is restarted on a working disk."
    DiskTorn 2010 Warn "torn record cut off" "The last record of the log was only partly written when the process died; it was never confirmed and is truncated."
    DiskCorrupt 2011 Error "log corrupt" "A record before the last one fails its checksum: the replica refuses to start. Replace the replica by a new one."
    JournalFailed 2012 Warn "journal of streams can't be used" "Where streams began isn't kept on the disk, so that this instance won't know it after a restart; `why` gives the cause."

    // 3xxx: ownership of engines.
    EngineTaken 3001 Info "engine taken" "This instance owns `engine` under the fencing number `fence`."
    EngineReleased 3002 Info "engine released" "This instance gave `engine` back or handed it over."
    LeaseExtended 3003 Warn "lease extended without leader" "No leader can be reached; all other live instances of the zone confirmed the lease."
    LeaseRestricted 3004 Warn "ownership restricted" "The lease expired and no instance could confirm it: requests for resident adapters are still served, nothing is unloaded on engines that ignore fencing numbers."
    LeaseLost 3005 Warn "engine lost" "Another instance owns `engine` now; this instance sends nothing more to it."
    OrderFenced 3006 Warn "order refused as stale" "The engine refused an order because it has seen the fencing number of a newer owner."
    HandoverDone 3007 Info "engine handed over" "A planned handover to another owner is done; it named the adapters still in use."

    // 4xxx: engines, adapters and placement.
    AdapterLoaded 4001 Info "adapter loaded" "`engine` accepted the order to load `adapter` (`how` is `accepted`, or `done` if it was already resident), or has loaded it after `ms`."
    AdapterUnloaded 4002 Info "adapter unloaded" "`engine` accepted the order to unload `adapter`; `accepted` if it still serves requests with it, or `done`."
    LoadFailed 4003 Warn "adapter load failed" "The engine or the weight store refused a load; the load is retried on another engine or later."
    LoadGivenUp 4004 Error "adapter can't be loaded" "Every engine of the pool failed to load `adapter`: its weights are wrong or missing. Requests for it fail (not run)."
    EngineRestarted 4005 Warn "engine restarted empty" "An engine restarted (it reports another incarnation); its former resident adapters are forgotten and loaded again."
    EngineSilent 4006 Warn "engine unresponsive" "An engine answers neither reports nor requests; it gets no new requests."
    EngineBack 4007 Info "engine responsive again" "An unresponsive engine answers again."
    ReportGap 4008 Info "report lost" "A gap in the serial numbers shows that an engine's report was lost; its list of resident adapters is read in full."
    DriftRepaired 4009 Info "drift repaired" "An engine had adapters loaded that the text doesn't ask for, or lacked some that it does, and was corrected."
    TargetLeaving 4010 Info "target leaves" "The platform announced that a target will stop, or lists it no more: it gets no new requests. `source` is the control instance that said so, `platform`, or `answer` where an answer of the target said so itself; the list was requested `age_ms` before."
    ServiceDown 4011 Warn "service can't be brought up" "A service waits for another one that it depends on, named in `needs`."
    ServiceUp 4012 Info "service is up" "A service and all services that it depends on are up."
    StoreThrottled 4013 Info "loads wait for the store" "Loads wait for the weight store: `waiting` adapters have no load under way and `coming` adapters have one; `loads` loads run at once and take `load_ms` each. `memory` adapters load from an engine's own memory. `idle` engines accept orders, and on `full` of these no adapter can be unloaded."
    WeightsHeld 4014 Info "engines have different weights" "`engines` have `version` of the weights of `model` loaded, while others in the zones of this instance have another version: the same request may be answered by either."
    SoftwareHeld 4015 Info "targets run different software" "`targets` of `service` run `software`, while others in the zones of this instance run another version."

    // 5xxx: requests.
    RequestDone 5001 Debug "request done" "A request ended; `adapter` and `version` name the adapter that it ran on."
    RequestFailed 5002 Info "request failed" "A request failed for good; `why` is the reason and `how` is what the caller saw."
    WrongAdapter 5003 Error "answer of another adapter" "A target answered with another adapter or version than the request asked for; the answer was not passed to the caller."
    AttemptFailed 5004 Debug "attempt failed" "One attempt at a request failed; another one follows if the request may be retried."
    StreamResumed 5005 Info "stream resumed" "A broken stream was continued from where it stopped; `copy` says whether it continued from a copy of its KV cache; `began_at` is the software version of the target that began it, and `software` that of the one where it goes on; `from_weights` and `weights` are the versions of the weights that the first and the second answer name."
    ClaimRefused 5006 Info "marked request refused" "A marked request (at most once) could not be registered under its idempotency key, or the key was used before."
    BadKey 5007 Info "unknown key" "A caller sent a key that belongs to no brand."
    ShareExceeded 5008 Info "over its share" "A brand's batch requests wait because other brands claim their share."

    RequestSlow 5009 Info "request slow" "The head of an answer took `head_ms`, of which `place_ms` passed before a target was found; `sends` and `refusals` count how often the request was sent and refused."
    BackupUnused 5010 Info "copy of a KV cache not used" "A copy of a run's KV cache, made with `weights` and `version` of the adapter, isn't used; `why` is `Weights` or `Version` where its target may have others loaded, `Outdated` where a newer version was named too long ago, `Gone` where its target is gone, `Silent` where no instance that knows the target was heard from lately, `Deadline` where the caller no longer waits, or `Repeats` where the retry budget is used up."
    RunBroken 5011 Info "run ended with its connection" "The connection to `target` broke `ran_ms` after the request was sent there; `fate` is `crashed` where the target then refused connections, `running` where it answered, or `silent`. `fingerprint` is the same for all requests of one content, whatever their id; `parts` are the fingerprints of the parts of its prompt that other requests may share, in their order."
    RequestHeld 5012 Warn "request held" "Requests with `fingerprint` were part of `crashes` crashes of targets and never ended well: they are refused for `left_ms`. `kind` is `request` for the whole content, or `part` for a part of their prompts that different requests share. `by` is `log` for a verdict of the replicated log, or `instance` where this instance alone saw enough."
    RequestCleared 5013 Info "request cleared" "Requests with `fingerprint` were answered in full and are no longer refused; `kind` as in E5012."
    TargetChecked 5014 Info "target checked after a break" "Attempts at `target` broke; `fate` is `crashed` where it then refused connections, `running` where it answered, or `silent`."
    HeldRefused 5015 Info "held request refused" "A request with `fingerprint` came again and was refused, as that was part of `crashes` crashes of targets; its caller was told to come back in `left_ms`. `kind` as in E5012."
    LimitReached 5016 Info "account over its limit" "A request of `account` that counts for `units` was refused, as the limit of the account is used up, and its caller was told to come back in `left_ms`. `unsure` says that there were units left, but not for this instance by what it had heard of the others."
    TargetLimited 5017 Info "target names a limit" "`target` takes `limit` requests a second from all instances together, as an answer of it said `age_ms` ago. `source` is `answer` where it came to this instance, or the instance that said so."
    TargetUnlimited 5018 Info "target names no limit any more" "`target` takes requests without a limit again, as an answer of it said `age_ms` ago; `source` as in E5017."
    LimitedTraffic 5019 Info "requests sent to a limited target" "Within `ms` this instance has sent `sent` requests to `target`, and got no permit for `denied` that then went elsewhere, waited or were refused, while the target took `limit` a second from all instances together."
    ConnectionsFailed 5020 Info "connections to targets failed" "Within `ms`, `failed` attempts of this instance to connect to `targets` different targets failed and `made` succeeded."
    TargetsCutOff 5021 Warn "cut off from all targets" "No target can be connected to: `targets` were tried, and the first failed `evidence_ms` ago. Requests go through other instances."
    TargetsReachable 5022 Info "targets can be reached again" "Targets can be connected to again, after `lasted_ms`."
    SentThrough 5023 Info "sent through another instance" "This instance is cut off from all targets and asked `helper` for a tunnel to `target`; `outcome` is `opened`, `refused` or `silent` where the target is, or `no_help` where the helper is cut off as well, stops, is full or doesn't answer."
    TunnelOpened 5024 Info "tunnel opened for another instance" "`from` is cut off from all targets and reaches `target` through this instance."
    TargetBrittle 5025 Info "target is brittle" "`target` falls over when it has to refuse more than `bears` requests a second for want of room, as its answer says."
    TargetSturdy 5026 Info "target no longer brittle" "`target` no longer says that it falls over when it refuses requests."
    StreamCutShort 5027 Info "stream ended within an event" "`target` ended the stream of `request` within an event, after `bytes` bytes and the complete event `last`. `framing` is `length` or `chunks` where these had shown this to be the end, and `connection` where only the close of the connection did. It counts as broken off."
    StreamTakenUp 5028 Info "stream taken up by its caller" "A caller asked for the rest of the stream that its attempt `resumes` began, at a target of `service` that runs `software`; `source` is `own` where this instance knew that, `control` where a control instance did, or `only_version` where the service has had one version only for as long as a stream may live. `up_ms` is how long this instance has run."
    StreamRefused 5029 Info "stream not continued" "The rest of a stream was refused, or a broken stream ends here. `why` is `no_attempt_named` where the caller names no attempt that began it, `unknown` where nobody in reach knows which software version began it, `service_changed` where its route no longer leads there, `software_unknown` where the target that began it names no software, `no_target` where no target of that version can take it, or why no other target was tried or answered."
    RetryDenied 5030 Debug "retry denied" "A request of `service` isn't sent again: within the window this instance has had `requests` requests and sent `retries` again; its share of the fixed number is `share`, as `instances` share that."
    TargetSilent 5031 Info "target silent" "`target` has said nothing to `request` for `silent_ms`; `phase` is `head` or `body`, and `last` is the event that the caller has. Another target is tried as well if the request may be sent again: E5005 if that took over, E5029 and E5002 if nothing did; the silent one may still go on."
    NotLetIn 5034 Info "request not let in" "`service` has too little room, and `request` of `account` with `rank` was refused before anything was sent: `part` of such requests is let in. Its caller was told to come back in `left_ms`."
    RoomShort 5035 Info "service short of room" "`running` requests are under way at the engines of `service`, which have `slots` places; `queued` of them wait there. Callers offer `offered` tokens a second, `ended` end, and `part` is let in; again when that has changed by a tenth."
    RoomEnough 5036 Info "service no longer short of room" "All requests for `service` are let in again, after `lasted_ms` in which this instance refused `refused`."
    RetriesLent 5038 Debug "retries lent" "This instance was asked to lend `asked` retries of `service` to others and lends `lent`: for 12 s it counts them as sent."
    RetriesBorrowed 5039 Debug "retries borrowed" "This instance may send `count` requests of `service` again besides its own retries, within `life_ms`."
    HedgeSent 5040 Info "sent to a second target as well" "`first` has not answered `request` for `waited_ms`; it was sent to `target` as well, and whichever answers first is taken."
    HedgeWon 5041 Info "second target was first" "`target` answered `request`, `took_ms` after it was sent there as well; the first one was left."
    HedgeLost 5042 Info "second target in vain" "The second target of `request` had it for `ran_ms` in vain; `outcome` is `cancelled` where the first one answered, else how it failed."
    HedgeWithheld 5043 Debug "not sent to a second target" "`first` is late with `request`, which wasn't sent to a second target: `why` is `attempts`, `suspect`, `pressed`, `deadline`, `limit`, `room`, `budget` or `permit`."
    TargetResting 5044 Info "target asks for rest" "`target` has turned a request away and wants nothing from this instance for `rest_ms`. Longer rests that it asks for before the end aren't told."
    TargetRested 5045 Info "target's rest is over" "`target` has rested for `lasted_ms`; this instance has sent `sent` requests there meanwhile. They were on their way when it asked, or nobody kept to it."
    AnswerMalformed 5046 Warn "answer has no valid head" "What `target` sent as the answer to `request` is no head of HTTP: the line that begins at its byte `at` breaks `rule`, which is `status_line`, `status`, `line_end`, `field`, `length`, `coding`, `framing` or `size`. The request may have run; the connection is closed."
    AnswerUnsigned 5047 Warn "success isn't the target's answer" "`target` answered `request` with a success that lacks a sign of its answers: `missing` is `signature`, `id` or `encoding` (its body is encoded). The request may have run; the connection is closed."
    TargetRestarted 5048 Info "target has started again" "`target` has started again under its id; what its answers asked for before, rest or nothing more as it leaves, is forgotten."

    // 6xxx: other instances and the platform.
    PeerSilent 6001 Warn "no heartbeats from peer" "An instance's heartbeats stopped; `silent_ms` is the time since the last one."
    PeerBack 6002 Info "heartbeats from peer again" "An instance's heartbeats arrive again."
    ConnectionSilent 6003 Warn "unresponsive connection replaced" "Nothing arrived on an open connection within its time limit, and it was replaced by a new one."
    ZoneCut 6004 Error "zone cut off" "No instance outside this zone answers: the zone continues on its own."
    ZoneJoined 6005 Info "zone reconnected" "Instances of other zones answer again."
    ListStale 6006 Warn "platform's list is stale" "The platform's list of targets can't be read; the last one that was read stays in use."
    PeerRefused 6007 Warn "peer message refused" "A peer sent a message that can't be decoded: it may run another release."
    ListFound 6008 Info "zone's list came from elsewhere" "The list of `zone` that was known was `before_ms` old, and came from `source`, another control instance or `platform`; it was requested `age_ms` before."

    // 7xxx: operators and the text (their configuration text).
    TextAccepted 7001 Info "text accepted" "A change of the text is synced to disk on a majority of replicas; `version`, `change` and `by` identify it."
    TextRefused 7002 Info "text refused" "A change of the text was refused; `why` gives the reason."
    TextInForce 7003 Info "text in force" "This instance applies version `version` of the text from now on; on the users' platform `tight` tells whether a route to engines has a tight goal, so that targets are chosen by expected time."
    TextBroken 7004 Error "accepted text fails the check" "An accepted text fails this release's check: the instance keeps the previous one. The instances run different releases."
    ChangeResent 7005 Info "change resent" "A change arrived again with the same id and got the same answer as before."
}
