// wants: $.fleet.sessions.header: "X-Tenant-Id" stands there; that header has a meaning already
// wants: $.fleet.sessions.owner_header: "X Owner" stands there; the name of a header is right
// wants: $.fleet.sessions.classes[1]: "tally-submit" stands there; stands there already
// wants: $.fleet.sessions.slots_per_replica: is missing
// wants: $.fleet.sessions.in_flight: 64 stands there; at most per_minute, 10
// wants: $.fleet.sessions.slots: 100 stands there; from 1 to 64 is right
(import 'fleet.libsonnet') + { fleet+: { sessions: {
  header: 'X-Tenant-Id', owner_header: 'X Owner', classes: ['tally-submit', 'tally-submit'], per_minute: 10, slots: 100,
} } }
