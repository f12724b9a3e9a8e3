// wants: $.fleet.lanes.header: "X-Session" stands there; that header is of pinned sessions
// wants: $.fleet.lanes.slot_s: 0.5 stands there; from 1 to 3600 s is right
// wants: $.fleet.lanes.lanes[0].floor: 0 stands there; from 0.001 to 1 is right
// wants: $.fleet.lanes.lanes[0].most: 0.3 stands there; at least what its accounts are guaranteed, 0.9
// wants: $.fleet.lanes.lanes[1]: "silver" stands there; no account is in it
// wants: $.fleet.lanes.lanes[3].name: "gold" stands there; that is the name of lanes[0]
// wants: $.fleet.lanes.lanes[4].most: 0.01 stands there; at least its floor, 0.02
// wants: $.fleet.lanes.accounts[1].most: 0.2 stands there; at least its guarantee, 0.4
// wants: $.fleet.lanes.accounts[1].tenants[0]: "north" stands there; it is in accounts[0] already
// wants: $.fleet.lanes.accounts[2].lane: "bronze" stands there; "a" is in lane gold already, by accounts[0]; an account is in one
// wants: $.fleet.lanes.accounts[2].marks[1]: "k" stands there; it is in accounts[2] already
// wants: $.fleet.lanes.accounts[3].name: "a" stands there; that is the name of accounts[0]
// wants: $.fleet.lanes.accounts[3]: "a" stands there; nobody is in it
// wants: $.fleet.lanes.accounts[4].lane: "golden" stands there; "golden" is not known; is "gold" meant?
// wants: $.fleet.lanes.accounts[4].marks[0]: " k9" stands there; 1 to 128 bytes
// wants: $.fleet.lanes: guarantees and floors make 1.11 of the fleet; 1 at most
(import 'fleet.libsonnet') + { fleet+: {
  sessions: { header: 'x-session', classes: ['tally-submit'], slots_per_replica: 100 },
  lanes: {
    header: 'X-Session',
    slot_s: 0.5,
    lanes: [{ name: 'gold', floor: 0, most: 0.3 }, { name: 'silver' }, { name: 'bronze' }, { name: 'gold' }, { name: 'rest', most: 0.01 }],
    accounts: [
      { name: 'a', lane: 'gold', tenants: ['north'], guarantee: 0.5 },
      { name: 'b', lane: 'gold', tenants: ['north'], guarantee: 0.4, most: 0.2 },
      { name: 'a', lane: 'bronze', marks: ['k', 'k'], guarantee: 0.05 },
      { name: 'a', lane: 'gold' },
      { name: 'e', lane: 'golden', marks: [' k9'] },
    ],
    classes: { 'tally-submit': { floor: 0.06 } },
  },
} }
