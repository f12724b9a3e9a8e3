// wants: $.fleet.lanes.accounts[0].tenants[0]: "nort" stands there; "nort" is not known; is "north" meant?
// wants: $.fleet.lanes.accounts[0].routes[0]: "fast" stands there; the settings or the file have none
// wants: $.fleet.lanes.classes.tallies: "tallies" is not known; there are species-search
// wants: $.fleet.lanes: guarantees and floors make 1.01 of the fleet, with 0.02 for each class that is not named; 1 at most
(import 'fleet.libsonnet') + { fleet+: { lanes: {
  header: 'X-Account', lanes: [{ name: 'gold' }, { name: 'rest' }],
  accounts: [{ name: 'a', lane: 'gold', tenants: ['nort'], marks: ['k'], routes: ['fast'], guarantee: 0.89 }],
  classes: { tallies: {} },
} } }
