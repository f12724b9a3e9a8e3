// wants: $.fleet.lanes.classes.trend-report.floor: 0.01 stands there; its largest query has 27 parts and can't pass: in a slot of 10 s the fleet bears 2400 parts of it, of which the floor is 24; at least 0.011, or a longer slot_s
// wants: $.fleet.lanes.lanes[1].floor: 0.002 stands there; the largest query of trend-report has 27 parts and can't pass
(import 'fleet.libsonnet') + { fleet+: { lanes: {
  lanes: [{ name: 'gold' }, { name: 'rest', floor: 0.002 }],
  accounts: [{ name: 'a', lane: 'gold', tenants: ['north'] }],
  classes: { 'trend-report': { floor: 0.01 } },
} } }
