//! `cargo xtask samples`: writes the sample configuration texts of both deployments, or
//! measures how long a text takes to parse and check.

use std::{fmt::Write, fs, path::Path, time::Instant};

use anyhow::{Context, Result, ensure};
use text::Model;

/// Number of adapters of each brand in the samples: 3,000 for all three brands.
const ADAPTERS: usize = 1_000;
/// One adapter in this many has a second version that is not served yet.
const TWO_VERSIONS_ONE_IN: usize = 50;
/// Number of runs of a measurement, which prints the median.
const RUNS: usize = 7;

/// The parts of a sample text in which the two deployments differ.
struct Sample {
    file: &'static str,
    head: &'static str,
    base: &'static str,
    engines: &'static str,
    brands: [Brand; 3],
    services: &'static str,
}

/// One brand of a sample.
struct Brand {
    name: &'static str,
    title: &'static str,
    /// Middle part of the names of its numbered adapters: what one adapter is for.
    unit: &'static str,
}

/// Returns the command line.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("samples")
        .about("Writes the sample texts, or measures parse and check with --measure")
        .arg(
            clap::Arg::new("measure")
                .long("measure")
                .value_name("ADAPTERS")
                .value_parser(clap::value_parser!(usize))
                .help("Times the check of the agency's text with this many adapters"),
        )
}

/// Writes the samples, or measures with `--measure`.
///
/// # Errors
///
/// Fails when a sample can't be written or doesn't pass the check.
pub(crate) fn run(root: &Path, args: &clap::ArgMatches) -> Result<()> {
    if let Some(adapters) = args.get_one::<usize>("measure") {
        return measure(*adapters);
    }
    let folder = root.join("samples");
    fs::create_dir_all(&folder)?;
    for sample in [&AGENCY, &CONSORTIUM] {
        let source = render(sample, ADAPTERS);
        Model::try_from(source.as_str()).with_context(|| format!("{} is wrong", sample.file))?;
        fs::write(folder.join(sample.file), source)?;
    }
    Ok(())
}

/// Returns the agency's text with at least `adapters` adapters, the same number per brand.
pub(crate) fn agency(adapters: usize) -> String {
    render(&AGENCY, adapters.div_ceil(AGENCY.brands.len()))
}

/// Measures the time to parse and check a text and the memory that its model takes.
fn measure(adapters: usize) -> Result<()> {
    let source = agency(adapters);
    let before = resident_kib()?;
    let model = Model::try_from(source.as_str())?;
    let model_kib = resident_kib()?.saturating_sub(before);
    let mut took = Vec::new();
    for _ in 0..RUNS {
        let start = Instant::now();
        let again = Model::try_from(source.as_str())?;
        took.push(start.elapsed());
        ensure!(again == model, "two checks of one text differ");
    }
    took.sort();
    let (least, median, most) = (took[0], took[RUNS / 2], took[RUNS - 1]);
    let kib = source.len() / 1024;
    println!("{adapters} adapters, {kib} KiB: median {median:?} of {RUNS} ({least:?} to {most:?})");
    println!("the first check left {model_kib} KiB more resident, the parser's tables freed");
    Ok(())
}

/// Returns this process's resident memory in KiB.
fn resident_kib() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.context("no VmRSS in /proc/self/status")?.parse()?)
}

fn render(sample: &Sample, adapters: usize) -> String {
    let mut text = format!("{}\n{}", sample.head, sample.engines);
    for brand in &sample.brands {
        // Writing to a `String` can't fail.
        let _ = write_brand(&mut text, sample, brand, adapters);
    }
    text
}

fn write_brand(
    text: &mut String,
    sample: &Sample,
    brand: &Brand,
    adapters: usize,
) -> std::fmt::Result {
    let Brand { name, title, unit } = brand;
    let key = format!("sample-key-{name}");
    let hash: String = text::key_hash(&key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    writeln!(
        text,
        "\n# {title}. The hash is that of the sample key `{key}`; replace it."
    )?;
    writeln!(text, "[brands.{name}]\nweight = 1\nkeys = [\"{hash}\"]")?;
    writeln!(text, "base = \"{}\"", sample.base)?;
    writeln!(text, "weights = \"{name}/{{adapter}}/{{version}}\"\n")?;
    writeln!(text, "{}", sample.services.replace("BRAND", name))?;
    writeln!(text, "[brands.{name}.adapters]")?;
    let work = ["live", "batch"].map(|work| format!("{name}-{work}"));
    for adapter in &work {
        writeln!(text, "{adapter} = [1]")?;
    }
    for i in 1..=adapters.saturating_sub(work.len()) {
        let versions = match i % TWO_VERSIONS_ONE_IN {
            0 => "{ versions = [1, 2], serve = 1 }",
            _ => "[1]",
        };
        writeln!(text, "{name}-{unit}-{i:04} = {versions}")?;
    }
    Ok(())
}

const AGENCY: Sample = Sample {
    file: "agency.toml",
    head: r#"# Agencija za kulturnu zaposljivost Hrvatske: casting calls for theatre, film
# and folk ensembles. Written by `cargo xtask samples`.
#
# Instances, targets and their zones (dubrava, jankomir, zitnjak, blato) are not
# named here: they come from the platform's list, currently 12 drafting and 4
# portal replicas.

[limits]
max-body-bytes = 1048576
critical-deadline-ms = 10000
live-deadline-ms = 30000
# Screening may queue, but has to end before the auditions in the morning.
batch-deadline-ms = 28800000
attempts = 3

[store]
rate = 5
at-once = 2
"#,
    base: "gemma-hr",
    engines: r#"# Answers waiting callers, and screens submissions overnight. `fencing = true` is
# for engines that refuse orders with an outdated fencing number; if that is not
# certain, `false` is the safe choice.
[pools.drafting]
kind = "engine"
base = "gemma-hr"
slots = 8
batch = 32
fencing = true

# Listing pages, submissions and their receipts.
[pools.portal]
kind = "plain"
at-once = 64
"#,
    brands: [
        Brand {
            name: "kazaliste",
            title: "Theatre",
            unit: "kuca",
        },
        Brand {
            name: "film",
            title: "Film",
            unit: "produkcija",
        },
        Brand {
            name: "folklor",
            title: "Folk ensembles",
            unit: "ansambl",
        },
    ],
    services: r#"# Every ensemble's own assistant, under the name of its adapter.
[brands.BRAND.each-adapter]
pool = "drafting"
class = "live"
needs = ["listing"]

# Helps performers with applications while they wait.
[brands.BRAND.services.drafting]
kind = "assistant"
adapter = "BRAND-live"
pool = "drafting"
class = "live"
needs = ["listing"]

# Screens submissions overnight.
[brands.BRAND.services.screening]
kind = "assistant"
adapter = "BRAND-batch"
pool = "drafting"
class = "batch"
needs = ["submissions"]

[brands.BRAND.services.listing]
kind = "plain"
pool = "portal"
class = "critical"
mark = "repeatable"

[brands.BRAND.services.receipts]
kind = "plain"
pool = "portal"
class = "critical"
mark = "repeatable"

# Applications must not run twice: a duplicate makes the applicant look careless.
[brands.BRAND.services.submissions]
kind = "plain"
pool = "portal"
class = "live"
mark = "once"
needs = ["receipts"]

# Casting offices post casting calls.
[brands.BRAND.services.posting]
kind = "plain"
pool = "portal"
class = "live"
mark = "once"
needs = ["listing"]
"#,
};

const CONSORTIUM: Sample = Sample {
    file: "consortium.toml",
    head: r#"# Pamoja Nafasi Consortium: three rival placement agencies that share one
# matching platform. Written by `cargo xtask samples`.
#
# Instances, targets and their zones (kurasini-hall, mikocheni-hall,
# ubungo-hall) are not named here: they come from the platform's list, currently
# 18 assistant and 3 matching-service replicas.
#
# The partners' weights are equal, so that none is favoured under load.

[limits]
max-body-bytes = 2097152
critical-deadline-ms = 10000
live-deadline-ms = 30000
# CVs are scored overnight.
batch-deadline-ms = 28800000
attempts = 3

[store]
rate = 6
at-once = 2
"#,
    base: "llama-sw",
    engines: r#"# Drafts letters for waiting students, and scores CVs overnight. `fencing = false`
# is for engines that ignore fencing numbers, or may do so.
[pools.assistant]
kind = "engine"
base = "llama-sw"
slots = 6
batch = 48
fencing = false

# The matching service of all three partners.
[pools.matching]
kind = "plain"
at-once = 64
"#,
    brands: [
        Brand {
            name: "ajira",
            title: "First partner",
            unit: "chuo",
        },
        Brand {
            name: "fursa",
            title: "Second partner",
            unit: "chuo",
        },
        Brand {
            name: "kazi",
            title: "Third partner",
            unit: "chuo",
        },
    ],
    services: r#"# Every college's own assistant, under the name of its adapter.
[brands.BRAND.each-adapter]
pool = "assistant"
class = "live"
needs = ["listing"]

# Drafts cover letters while students wait.
[brands.BRAND.services.letters]
kind = "assistant"
adapter = "BRAND-live"
pool = "assistant"
class = "live"
needs = ["listing"]

# Scores CVs against posted roles overnight.
[brands.BRAND.services.scoring]
kind = "assistant"
adapter = "BRAND-batch"
pool = "assistant"
class = "batch"
needs = ["applications"]

[brands.BRAND.services.listing]
kind = "plain"
pool = "matching"
class = "critical"
mark = "repeatable"

[brands.BRAND.services.receipts]
kind = "plain"
pool = "matching"
class = "critical"
mark = "repeatable"

# Must not run twice: duplicate applications cause distrust between the partners.
[brands.BRAND.services.applications]
kind = "plain"
pool = "matching"
class = "live"
mark = "once"
needs = ["receipts"]

# A lost or duplicate acceptance would give the seat to somebody else.
[brands.BRAND.services.acceptances]
kind = "plain"
pool = "matching"
class = "critical"
mark = "once"
needs = ["receipts"]
"#,
};
