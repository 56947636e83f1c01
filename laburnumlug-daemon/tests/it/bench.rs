//! Short benchmark runs against real processes.

use std::path::PathBuf;
use std::time::Duration;

use laburnumlug_bench::{BenchPolicy, Config, Workload, run};

use crate::harness::block_on;

#[test]
fn bench_accounts_for_every_request() {
    block_on(async {
        let config = Config::new(PathBuf::from(env!("CARGO_BIN_EXE_laburnumlugd")))
            .trace_length(Duration::from_secs(10))
            .compression(10.0);
        let workload = Workload::by_name("gulvdans-calm").unwrap().engines(2);
        for name in ["mixed", "predicted"] {
            let policy = BenchPolicy::by_name(name).unwrap();
            let report = run(&config, &workload, &policy, 1).await.unwrap();
            let outcomes = report.in_time + report.late + report.refused + report.may_have_run;
            assert_eq!(report.wrong, 0, "{name}");
            assert_eq!(outcomes, report.offered, "{name}");
            assert!(report.in_time > 0, "{name}: {report:?}");
        }
    });
}
