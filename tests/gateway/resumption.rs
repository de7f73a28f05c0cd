//! Streams that callers take up again at other daemons, in fleets of any size.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tealturn::{
    gateway::{origin::ORIGIN_WAIT, store::Topic},
    kernel::{clock::Time, id::Build},
};

use crate::{scene::BUILD, simulation::Fleet};

const SIZES: [usize; 4] = [7, 58, 195, 350];

const OTHER_BUILD: &str = "v2";

/// Streams that begin in [`STREAM_LENGTH`], for each daemon.
const STREAMS_PER_DAEMON: usize = 4;

const STREAM_LENGTH: Duration = Duration::from_millis(400);

/// The time from the beginning of a stream to its first event. Callers don't take up a stream of which
/// they have no event.
const FIRST_EVENT: Duration = Duration::from_millis(20);

/// The time after which callers come back.
const RETURN: Duration = Duration::from_millis(10);

/// The share of the streams taken up again that must go on (rules, LOST: half of the share of new
/// streams that begin, which is all of them here).
const MIN_SHARE: f64 = 0.5;

const STEP: Duration = Duration::from_millis(10);

struct Stream {
    attempt: u64,
    build: Build,
    daemon: usize,
    begun_at: Time,
}

/// Waits at a daemon for the origin of a stream, as a call that resumes it does.
struct Resumption {
    stream: Stream,
    daemon: usize,
    found: Option<Build>,
}

/// Lets streams of two builds begin at random daemons for [`STREAM_LENGTH`].
fn begin_streams(fleet: &mut Fleet, daemons: usize, rng: &mut StdRng) -> Vec<Stream> {
    let steps = STREAM_LENGTH.as_millis() / STEP.as_millis();
    let mut streams = Vec::new();
    for step in 1..=steps as usize {
        while streams.len() < daemons * STREAMS_PER_DAEMON * step / steps as usize {
            let (attempt, daemon) = (streams.len() as u64 + 1, rng.random_range(0..daemons));
            let build = *[BUILD, OTHER_BUILD].choose(rng).expect("two builds");
            let build = Build::from(build);
            fleet.begin_stream(daemon, attempt, &build);
            streams.push(Stream { attempt, build, daemon, begun_at: fleet.now });
        }
        fleet.run(STEP);
    }
    streams
}

/// Guards against streams that are lost with their daemon in a large fleet: the news of which build began
/// them arrived after their callers, or not at all (incident LOST, docs/incidents/cascade-grown-lost.md).
#[test]
fn streams_of_killed_daemons_go_on_in_fleets_of_any_size() {
    struct Case {
        killed: f64,
        loss: f64,
        seed: u64,
    }
    for daemons in SIZES {
        for case in [
            Case { killed: 0.15, loss: 0.0, seed: 1 },
            Case { killed: 0.3, loss: 0.0, seed: 2 },
            Case { killed: 0.3, loss: 0.025, seed: 3 },
            Case { killed: 0.6, loss: 0.0, seed: 4 },
        ] {
            let mut rng = StdRng::seed_from_u64(case.seed);
            let mut fleet = Fleet::new(daemons, 78, case.seed);
            fleet.write(Topic::Upstreams, &format!("engine-500.{OTHER_BUILD}"));
            fleet.write(Topic::Upstreams, &format!("engine-501.{OTHER_BUILD}"));
            fleet.run(Duration::from_secs(5));
            fleet.loss = case.loss;
            let streams = begin_streams(&mut fleet, daemons, &mut rng);
            let killed = ((daemons as f64 * case.killed) as usize).max(1);
            let mut alive: Vec<usize> = (0..daemons).collect();
            for _ in 0..killed {
                fleet.kill(alive.swap_remove(rng.random_range(0..alive.len())));
            }
            let killed_at = fleet.now;
            fleet.run(RETURN);
            let is_resumed = |it: &Stream| {
                !alive.contains(&it.daemon) && killed_at.since(it.begun_at) >= FIRST_EVENT
            };
            let mut resumptions = Vec::new();
            for stream in streams.into_iter().filter(is_resumed) {
                let daemon = *alive.choose(&mut rng).expect("a daemon that is alive");
                resumptions.push(Resumption { stream, daemon, found: None });
            }
            let until = fleet.now + ORIGIN_WAIT;
            loop {
                for resumption in resumptions.iter_mut().filter(|it| it.found.is_none()) {
                    resumption.found =
                        fleet.find_origin(resumption.daemon, resumption.stream.attempt);
                }
                if fleet.now >= until {
                    break;
                }
                fleet.run(STEP);
            }
            let gone_on = resumptions.iter().filter(|it| it.found.is_some()).count();
            let share = gone_on as f64 / resumptions.len() as f64;
            let (killed, loss) = (case.killed, case.loss);
            let what = format!("{daemons} daemons, {killed} killed, loss {loss}");
            eprintln!("{what}: {gone_on} of {} streams go on", resumptions.len());
            for Resumption { stream, found, .. } in &resumptions {
                let is_right = found.as_ref().is_none_or(|it| *it == stream.build);
                assert!(is_right, "{what}: {found:?} began stream {}", stream.attempt);
            }
            assert!(share >= MIN_SHARE, "{what}: {gone_on} of {} go on", resumptions.len());
        }
    }
}
