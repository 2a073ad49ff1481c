//! Measures how state sizes and CPU times grow with their inputs, for `docs/CAPACITY.md`:
//! `cargo run --release -p clementinearch-policy --example slopes`.

use std::{hint::black_box, sync::Arc, time::Instant};

use clementinearch_border::{BillRecord, Head, HeadItem, LedgerPage};
use clementinearch_policy::{
    admission::{Admission, AdmissionDecision},
    catalogue::{Bodies, Catalogue},
    ledger::merge_records,
    membership::{Member, MemberState, MembershipTable},
    names::{Name, digest_hex},
    quality::{QualityCounters, should_halt},
    request_id::RequestId,
    session::{SessionPin, SessionSigner},
    subset::subset,
    time::Millis,
};

/// Returns the mean duration of `run` in microseconds.
fn mean_micros<T>(repetitions: u32, mut run: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..repetitions {
        black_box(run());
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(repetitions)
}

fn plan_text(number: usize) -> String {
    let digest = digest_hex(number.to_string().as_bytes());
    format!(
        "[[account]]\nname = \"account-{number}\"\nkey_sha256 = \"{digest}\"\n[[allow]]\nmodel = \"m\"\nversions = [\"a\", \"b\"]\n"
    )
}

/// Returns a head of `plans` plans and its bodies; the first plan was last changed by `revision`.
fn configuration(plans: usize, revision: u64) -> (Arc<Head>, Bodies) {
    let mut bodies = Bodies::default();
    let item = |number: usize| {
        let text = if number == 0 {
            format!("{}# {revision}\n", plan_text(0))
        } else {
            plan_text(number)
        };
        let digest = digest_hex(text.as_bytes());
        bodies.insert(digest.clone(), text.into());
        let since = if number == 0 { revision } else { 1 };
        (
            format!("plan/plan-{number}"),
            HeadItem {
                revision: since,
                digest,
            },
        )
    };
    let items = (0..plans).map(item).collect();
    (
        Arc::new(Head {
            revision,
            items,
            edits: Vec::new(),
        }),
        bodies,
    )
}

fn main() {
    println!("configuration: plans, head bytes, apply all us, apply one change us");
    for plans in [10, 100, 1000] {
        let (first, bodies) = configuration(plans, 1);
        let apply = |current: Option<&Catalogue>, head: &Arc<Head>, bodies: &Bodies| {
            Catalogue::advance(current, head.clone(), bodies, &[])
        };
        let all = mean_micros(20, || apply(None, &first, &bodies));
        let clementinearch_policy::catalogue::Advance::Applied(current) =
            apply(None, &first, &bodies)
        else {
            return;
        };
        let (second, bodies) = configuration(plans, 2);
        let one = mean_micros(20, || apply(Some(&current), &second, &bodies));
        let bytes = serde_json::to_string(&*second).map_or(0, |text| text.len());
        println!("{plans:6} {bytes:8} {all:10.0} {one:10.0}");
    }

    println!("membership: hosts, table hash us, rows bytes");
    for hosts in [7, 112, 320] {
        let row = |number: usize| Member {
            name: format!("zone-{}-host-{number}", number % 7).into(),
            zone: format!("zone-{}", number % 7).into(),
            address: format!("10.0.{}.{}:7070", number / 256, number % 256).into(),
            incarnation: number as u64,
            refutation: 0,
            state: MemberState::Alive,
        };
        let mut members = MembershipTable::new(row(0));
        members.merge(&(1..hosts).map(row).collect::<Vec<_>>(), Millis(1));
        let bytes = serde_json::to_string(&members.rows()).map_or(0, |text| text.len());
        println!(
            "{hosts:5} {:8.1} {bytes:8}",
            mean_micros(200, || members.table_hash())
        );
    }

    println!("subset: servers, hosts in the zone, us");
    for (servers, hosts) in [(18, 7), (91, 46), (640, 320)] {
        let names = |kind: &str, count: usize| {
            (0..count)
                .map(|number| Name::from(format!("{kind}{number}")))
                .collect()
        };
        let (servers_named, hosts_named): (Vec<Name>, Vec<Name>) =
            (names("s", servers), names("h", hosts));
        println!(
            "{servers:5} {hosts:5} {:8.0}",
            mean_micros(20, || subset(&servers_named, &hosts_named, "h0"))
        );
    }

    println!("ledger: bills in the page, bytes, merge of 10 us");
    for bills in [100, 1000, 3000] {
        let bill = |_| BillRecord {
            id: RequestId::new(Millis(1_796_344_297_584)).simple(),
            account: "studio-reykjavik".to_owned(),
            model: "review@2026-11".to_owned(),
            prompt_tokens: 1200,
            completion_tokens: 450,
            whole: true,
        };
        let page = LedgerPage {
            records: (0..bills).map(bill).collect(),
        };
        let fresh: Vec<BillRecord> = (0..10).map(bill).collect();
        let bytes = serde_json::to_string(&page).map_or(0, |text| text.len());
        println!(
            "{bills:5} {bytes:8} {:8.0}",
            mean_micros(50, || merge_records(&mut page.clone(), &fresh))
        );
    }

    println!("versions: counting hosts in the zone, rows bytes, test us");
    for hosts in [7, 46, 112] {
        let subject: Name = "review@2026-11".into();
        let mut counters = QualityCounters::new("zone-0".into(), 0);
        for host in 0..hosts {
            let mut other = QualityCounters::new("zone-0".into(), host);
            other.add(&subject, false);
            counters.merge(&other.rows("zone-0", |_| true));
        }
        let bytes =
            serde_json::to_string(&counters.rows("zone-0", |_| true)).map_or(0, |text| text.len());
        println!(
            "{hosts:5} {bytes:8} {:8.2}",
            mean_micros(1000, || should_halt(counters.total(&subject), 0.02))
        );
    }

    let signer = SessionSigner::new("a secret of some length".into());
    let pin = SessionPin {
        account: "studio".to_owned(),
        session: "album-17".to_owned(),
        model: "review".to_owned(),
        version: "2026-11".to_owned(),
    };
    let token = signer.sign(&pin);
    println!(
        "session token: {} bytes, sign {:.1} us, verify {:.1} us",
        token.len(),
        mean_micros(1000, || signer.sign(&pin)),
        mean_micros(1000, || signer.verify(&token))
    );

    let account: Name = "studio".into();
    let mut admission = Admission::new(100);
    let admit_and_complete = || {
        if admission.admit(&account, 1, Millis(10_000), Millis(1)) == AdmissionDecision::Run {
            admission.complete(&account, std::time::Duration::from_secs(1));
        }
    };
    println!(
        "admission: {:.2} us per request",
        mean_micros(10_000, admit_and_complete)
    );
}
