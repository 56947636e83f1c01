use super::*;

/// Gateways report no demand for plain services. They must not lose their targets for being idle, as engines do.
#[test]
fn demand_of_plain_service() {
    let document = r#"{"name":"g","models":[],"targets":[],"services":[
        {"name":"p","kind":"plain","scaling":{"min":1,"max":9}},
        {"name":"e","kind":"engine","scaling":{"min":1,"max":9}},{"name":"q","kind":"plain"}]}"#;
    let services = scaled_services(&serde_json::from_str(document).unwrap());
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    let report = laburnumlug::DemandReport {
        sender: 1,
        services: BTreeMap::new(),
    };
    for i in 0..20 {
        meter.update(start + Duration::from_millis(500) * i, [&report]);
    }
    let now = start + Duration::from_secs(10);
    let demands: Vec<Demand> = services.iter().map(|s| s.demand(now, &meter)).collect();
    assert_eq!(demands, [Demand::Unknown, Demand::Idle]);
}
