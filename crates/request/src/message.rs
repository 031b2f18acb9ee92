//! Inputs and outputs of a request's state machine.

use std::time::Duration;

use base::{AdapterKey, Failure, Refusal, TargetNo, Time, Verdict};

use crate::Start;

base::value! {
    /// Number of an attempt within one request; the first is one.
    #[derive(Default)]
    pub struct AttemptNo(pub u32);

    /// The adapter version that an answer's head says it ran on.
    pub enum RanOn {
        /// The head names no adapter.
        Unnamed,
        /// The head names an adapter version that this node doesn't know.
        Unknown,
        /// The head names this adapter version.
        Named(AdapterKey),
    }

    /// A piece of a streamed answer.
    pub enum Part {
        /// Data before the first token.
        Preamble,
        /// This many tokens.
        Tokens(u32),
        /// Data after the last token, such as the finish reason.
        Tail,
        /// The stream's end marker, `[DONE]`: the answer is complete.
        Last,
        /// Bytes of an answer that can't be resumed.
        Raw,
    }

    /// The answer to a claim. A marked request is sent only by the instance that holds
    /// the claim on its idempotency key.
    pub enum ClaimReply {
        /// The claim is granted: this request may be sent, and no other with the same
        /// key.
        Granted,
        /// Another request with the same key is running.
        Running,
        /// A request with the key ran before.
        Ran {
            /// Whether its answer was kept; the driver holds it then.
            kept: bool,
        },
        /// A request with the key may have run before.
        MayHaveRun,
        /// The key was used with another body.
        OtherBody,
        /// The key is older than the claims that are remembered.
        TooOld,
        /// The claim could not be made.
        Deferred {
            /// When to retry.
            retry: Duration,
        },
    }

    /// The outcome of a claimed request, by which its claim is settled.
    pub enum ClaimOutcome {
        /// The request certainly did not run.
        NotRun,
        /// The request ran; the driver adds the answer if it is small enough to keep.
        Ran,
        /// The outcome is unknown.
        MayHaveRun,
    }

    /// A fault of a target.
    pub enum Fault {
        /// It failed or broke off its answer.
        Failed,
        /// It answered with another adapter or version.
        WrongAdapter,
        /// It did not resume the stream where it was asked to.
        WrongResume,
    }
}

base::record! {
    /// How a request ended.
    pub enum Final {
        /// The complete answer was passed on.
        Complete,
        /// The answer kept from an earlier run is to be sent to the caller.
        Replay,
        /// Nothing was passed on; the caller gets this failure.
        Failed(Failure),
        /// A part of a stream was passed on. The stream ends with this failure as its
        /// last event, and never with the marker of a complete answer.
        Broken(Failure),
    }
}

/// An event handed in by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request arrived.
    Start(Start),
    /// The claim was answered.
    Claimed(ClaimReply),
    /// A target was found.
    Placed {
        /// The target.
        target: TargetNo,
    },
    /// No target was found, or the retry budget is used up.
    NoTarget(Failure),
    /// An attempt failed without an answer, or in the middle of it.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptNo,
        /// Whether the attempt may have run.
        verdict: Verdict,
        /// The reason.
        reason: Refusal,
        /// When to retry, if the target said so.
        retry: Option<Duration>,
    },
    /// The head of an answer arrived.
    Head {
        /// The attempt that it belongs to.
        attempt: AttemptNo,
        /// HTTP status.
        status: u16,
        /// The adapter version that the head names.
        ran_on: RanOn,
        /// The number of tokens after which the head says the stream resumes.
        resumed: Option<u32>,
    },
    /// A piece of an answer arrived.
    Piece {
        /// The attempt that it belongs to.
        attempt: AttemptNo,
        /// The content of the piece.
        part: Part,
    },
    /// An answer ended.
    End {
        /// The attempt that it belongs to.
        attempt: AttemptNo,
        /// Whether the answer ended properly.
        complete: bool,
    },
    /// An attempt has said nothing for so long that another target is to be tried beside it.
    /// It runs on and may go on; handed in again while it stays silent.
    Silent {
        /// The attempt.
        attempt: AttemptNo,
        /// Whether the target itself is silent. A silent owner is no failure of its target
        /// and uses up no attempt.
        fault: bool,
    },
    /// The caller left.
    CallerGone,
    /// The time of an [`Output::Wake`] has come.
    Wake,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Claim the request's idempotency key.
    Claim,
    /// Find a target.
    Place {
        /// Targets that failed this request.
        avoid: Vec<TargetNo>,
        /// Whether this is a retry, which uses the retry budget; [`Input::NoTarget`] is
        /// the answer when that is used up.
        retry: bool,
    },
    /// Stop looking for the target that the last [`Output::Place`] asked for.
    Withdraw,
    /// Send the request.
    Send {
        /// Number of the attempt.
        attempt: AttemptNo,
        /// The target.
        target: TargetNo,
        /// Number of tokens that the caller already has; the stream is to resume after
        /// them.
        resume_from: u32,
    },
    /// Close the attempt's connection; later inputs of the attempt are ignored.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Pass the head just handed in to the caller.
    PassHead,
    /// Pass the piece just handed in to the caller.
    Pass,
    /// Hold back the head or piece just handed in until the answer is complete.
    Hold,
    /// Discard what was held back.
    DropHeld,
    /// Send the caller everything that was held back.
    Release,
    /// Settle the claim with the request's outcome.
    Settle(ClaimOutcome),
    /// Record a fault of a target.
    ReportFault {
        /// The target.
        target: TargetNo,
        /// The fault.
        fault: Fault,
    },
    /// The request is over; nothing is passed to the caller after this.
    Finish(Final),
    /// Hand in [`Input::Wake`] at this time.
    Wake {
        /// The time.
        at: Time,
    },
}
