//! Every numbered event, in one table.
//!
//! A number is never reused: alarms are written against it. `docs/logs.md`
//! holds the same rows, and `cargo xtask events` fails where they differ.

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

            /// Returns the level that the event is written at.
            #[must_use]
            pub fn level(self) -> LogLevel {
                match self { $(Event::$name => LogLevel::$level,)+ }
            }

            /// Returns the fixed text of the line.
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
    DrainBegun 1002 Info "drain begun" "A planned stop has begun: readiness is down, work is still taken for the grace time."
    DrainRefusing 1003 Info "drain refuses new work" "The grace time is over: new requests get `unavailable (not-run)`, running ones go on."
    Stopped 1004 Info "stopped" "The process ends in order; `running` says how many requests it cut off, which should be 0."
    StartFailed 1005 Error "start failed" "The process can't start; `why` says what is missing."
    Overrun 1006 Warn "timer ran late" "The process was not scheduled for `late_ms`: the machine is overloaded or was suspended."

    LinesLeftOut 1007 Warn "lines left out" "The reader of standard output was too slow: `lines` of the log found no room and are lost."
    SettingsRead 1008 Info "settings read again" "The settings have changed and were read; `seeds` control instances are named there."
    SettingsBroken 1009 Error "settings can't be read" "The changed settings can't be read; `why` says why. Those before stay in force."

    // 2xxx: the replicated log.
    LeaderElected 2001 Info "leader elected" "A replica leads the log in `term`."
    LeaderLost 2002 Warn "leader lost" "A replica stopped leading, or no longer hears a leader."
    QuorumLost 2003 Error "no quorum" "The leader can't reach a majority: changes and marked requests are refused (not run) until it can."
    QuorumBack 2004 Info "quorum back" "A majority answers again."
    SnapshotTaken 2005 Info "snapshot taken" "The log was cut; `index` is the last entry inside the snapshot."
    SnapshotInstalled 2006 Info "snapshot installed" "A replica that was far behind took the leader's snapshot."
    MemberAdded 2007 Info "replica added" "A replica joined the log's voters."
    MemberRemoved 2008 Info "replica removed" "A replica left the log's voters."
    DiskFailed 2009 Error "disk failed" "A write or sync of the data folder failed: the replica takes no more part until it is restarted on a good disk."
    DiskTorn 2010 Warn "torn record cut off" "The last record of the log was half written when the process died; it was never confirmed and is cut off."
    DiskCorrupt 2011 Error "log corrupt" "A record before the last one fails its checksum: the replica refuses to start. Replace it by a new one."

    // 3xxx: ownership of engines.
    EngineTaken 3001 Info "engine taken" "This instance owns `engine` under the fencing number `fence`."
    EngineReleased 3002 Info "engine released" "This instance gave `engine` back or handed it over."
    LeaseExtended 3003 Warn "lease extended without leader" "No leader is heard; all other live instances of the zone confirmed the lease."
    LeaseRestricted 3004 Warn "ownership restricted" "The lease ran out and nobody could confirm it: residents are still served, nothing is unloaded on engines that ignore fencing numbers."
    LeaseLost 3005 Warn "engine lost" "Another instance owns `engine` now; nothing is sent to it from here any more."
    OrderFenced 3006 Warn "order refused as stale" "The engine refused an order because a newer owner has been there."
    HandoverDone 3007 Info "engine handed over" "A planned handover named the adapters still in use."

    // 4xxx: engines, adapters and placement.
    AdapterLoaded 4001 Info "adapter loaded" "`engine` took the order to load `adapter` (`how` is `accepted`, or `done` if it held it), or holds it after `ms`."
    AdapterUnloaded 4002 Info "adapter unloaded" "`engine` took the order to drop `adapter`; `accepted` if it still serves requests, or `done`."
    LoadFailed 4003 Warn "adapter load failed" "The engine or the store refused a load; it is tried again elsewhere or later."
    LoadGivenUp 4004 Error "adapter can't be loaded" "Every engine of the pool failed to load `adapter`: its weights are wrong or missing. Requests for it fail (not run)."
    EngineRestarted 4005 Warn "engine restarted empty" "An engine came back with another incarnation; its residents are forgotten and loaded again."
    EngineSilent 4006 Warn "engine silent" "An engine answers neither reports nor requests; no new work goes to it."
    EngineBack 4007 Info "engine back" "An engine answers again."
    ReportGap 4008 Info "report lost" "An engine's report is missing by its serial number; its residents are read anew."
    DriftRepaired 4009 Info "drift repaired" "An engine held something that the text doesn't ask for, or lacked something, and was brought into line."
    TargetLeaving 4010 Info "target leaves" "The platform says that a target is to stop: no new work goes to it."
    ServiceDown 4011 Warn "service can't be brought up" "A service waits for one that it needs, named in `needs`."
    ServiceUp 4012 Info "service is up" "A service and all that it needs are up."
    StoreThrottled 4013 Info "loads wait for the store" "Loads wait for the weight store: `waiting` adapters that aren't on their way, while `coming` are, at `loads` at once of `load_ms` each; `memory` adapters load from an engine's own memory. `idle` engines take orders, and at `full` of these no adapter can be dropped."
    WeightsHeld 4014 Info "engines hold several weights" "`engines` hold `version` of the weights of `model`, while others in the zones of this instance hold another version: the same request is answered by either."

    // 5xxx: requests.
    RequestDone 5001 Debug "request done" "A request ended; `adapter` and `version` say what it ran on."
    RequestFailed 5002 Info "request failed" "A request was given up; `why` names the reason and `how` what the caller saw."
    WrongAdapter 5003 Error "answer of another adapter" "A target answered from an adapter or version that the request wasn't for; the caller didn't get it."
    AttemptFailed 5004 Debug "attempt failed" "One attempt at a request failed; another one follows if it may."
    StreamResumed 5005 Info "stream resumed" "A broken stream went on from where it stopped; `from_weights` and `weights` are the versions of weights that the two answers name."
    ClaimRefused 5006 Info "marked request refused" "A marked request could not be claimed, or its key was used before."
    BadKey 5007 Info "unknown key" "A caller came with a key that names no brand."
    ShareExceeded 5008 Info "over its share" "A brand's batch work waits because others want their share."

    RequestSlow 5009 Info "request slow" "The head of an answer took `head_ms`, of which `place_ms` passed before a target was found; `sends` and `refusals` say how often it was sent and refused."
    BackupUnused 5010 Info "copy of a run's memory not used" "A copy of a run's memory, made with `weights` and `version` of the adapter, isn't used; `why` is `Weights` or `Version` where its target may hold others, `Outdated` where a newer version was named too long ago, `Gone`, `Silent` where nobody was heard who knows, `Deadline` or `Repeats`."

    // 6xxx: other instances and the platform.
    PeerSilent 6001 Warn "peer silent" "An instance's heartbeats stopped; `silent_ms` says for how long."
    PeerBack 6002 Info "peer back" "An instance is heard again."
    ConnectionSilent 6003 Warn "silent connection dropped" "An open connection gave no sign of life and was replaced by a new one."
    ZoneCut 6004 Error "zone cut off" "No instance outside the own zone answers: the zone goes on alone."
    ZoneJoined 6005 Info "zone joined again" "Instances of other zones answer again."
    ListStale 6006 Warn "platform's list is stale" "The platform's list can't be read; the last one is used on."
    PeerRefused 6007 Warn "peer message refused" "A peer sent something that can't be read: it may run another release."

    // 7xxx: operators and the text.
    TextAccepted 7001 Info "text accepted" "A change of the text is synced on a majority; `version`, `change` and `by` say which."
    TextRefused 7002 Info "text refused" "A change of the text was refused; `why` says why."
    TextInForce 7003 Info "text in force" "This instance decides by the text `version` from now on."
    TextBroken 7004 Error "accepted text doesn't pass" "An accepted text fails this release's check: the instance keeps the one before. Releases differ."
    ChangeResent 7005 Info "change resent" "A change came again with the same id and was answered as before."
}
