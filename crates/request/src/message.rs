//! What goes into a request's decisions and what comes out.

use std::time::Duration;

use base::{AdapterKey, Failure, Refusal, TargetNo, Time, Verdict};

use crate::Start;

base::value! {
    /// Counts the attempts of one request.
    #[derive(Default)]
    pub struct AttemptNo(pub u32);

    /// What an answer says it ran on.
    pub enum RanOn {
        /// It names nothing.
        Unnamed,
        /// It names something that this node doesn't know.
        Unknown,
        /// It names this.
        Named(AdapterKey),
    }

    /// One piece of a streamed answer.
    pub enum Part {
        /// What comes before the first token.
        Preamble,
        /// So many tokens.
        Tokens(u32),
        /// What comes after the last token, such as why the answer ended.
        Tail,
        /// The mark that the stream is whole.
        Last,
        /// Bytes of an answer that can't be continued.
        Raw,
    }

    /// The answer to a claim.
    pub enum ClaimReply {
        /// This request may be sent, and nobody else's.
        Yours,
        /// Somebody else has it under way.
        Running,
        /// It ran before.
        Ran {
            /// Whether its answer was kept; the driver holds it.
            kept: bool,
        },
        /// It may have run before.
        MayHaveRun,
        /// The key was used with another body.
        OtherBody,
        /// The key is older than what is remembered.
        TooOld,
        /// Not claimed.
        NotNow {
            /// When to come back.
            retry: Duration,
        },
    }

    /// What became of a claimed request.
    pub enum Fate {
        /// It certainly did not run.
        NotRun,
        /// It ran; the driver adds the answer where it is small enough.
        Ran,
        /// Nobody can tell.
        MayHaveRun,
    }

    /// How a target misbehaved.
    pub enum Fault {
        /// It failed or broke off.
        Failed,
        /// It answered for another adapter or version.
        WrongAdapter,
        /// It did not continue where it was asked to.
        WrongResume,
    }
}

base::record! {
    /// How a request ended.
    pub enum Final {
        /// The answer was passed on whole.
        Whole,
        /// The answer kept from an earlier run is to be given.
        Replay,
        /// Nothing was passed on; this is the answer.
        Failed(Failure),
        /// A part of a stream was passed on: it ends with this as its last
        /// event, and is never closed as if whole.
        Broken(Failure),
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request arrived.
    Start(Start),
    /// The claim was answered.
    Claimed(ClaimReply),
    /// A target was found.
    Placed {
        /// Which.
        target: TargetNo,
    },
    /// No target was found, or the retry budget is used up.
    NoPlace(Failure),
    /// An attempt came to nothing.
    AttemptFailed {
        /// Which.
        attempt: AttemptNo,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: Refusal,
        /// When to come back, where the target said so.
        retry: Option<Duration>,
    },
    /// The head of an answer came.
    Head {
        /// To which attempt.
        attempt: AttemptNo,
        /// HTTP status.
        status: u16,
        /// What it says it ran on.
        ran_on: RanOn,
        /// After which token it says it continues.
        resumed: Option<u32>,
    },
    /// A piece of an answer came.
    Piece {
        /// To which attempt.
        attempt: AttemptNo,
        /// What is in it.
        part: Part,
    },
    /// An answer ended.
    End {
        /// To which attempt.
        attempt: AttemptNo,
        /// Whether its end was a proper one.
        whole: bool,
    },
    /// The caller left.
    CallerGone,
    /// A moment asked for has come.
    Wake,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Claim the request by its key.
    Claim,
    /// Find a target.
    Place {
        /// Targets that failed this request.
        avoid: Vec<TargetNo>,
        /// Whether this follows another attempt and counts against the retry
        /// budget; answer [`Input::NoPlace`] when that is used up.
        retry: bool,
    },
    /// Send the request.
    Send {
        /// As which attempt.
        attempt: AttemptNo,
        /// Where to.
        target: TargetNo,
        /// How many tokens the caller already has.
        resume_from: u32,
    },
    /// Close the attempt's connection; what still comes from it is unwanted.
    Cancel {
        /// Which.
        attempt: AttemptNo,
    },
    /// Pass the head just handed in to the caller.
    PassHead,
    /// Pass the piece just handed in to the caller.
    Pass,
    /// Keep the head or piece just handed in until the answer is whole.
    Hold,
    /// Forget what was held.
    DropHeld,
    /// Give the caller all that was held.
    Release,
    /// Report what became of the claimed request.
    Settle(Fate),
    /// Note a target's misbehaviour.
    Blame {
        /// Which target.
        target: TargetNo,
        /// What it did.
        fault: Fault,
    },
    /// The request is over; nothing is passed to the caller after this.
    Finish(Final),
    /// Hand in [`Input::Wake`] at this moment.
    Wake {
        /// When.
        at: Time,
    },
}
