// wants: $.fleet.work[0]: names no machine
// wants: $.fleet.work[1].names: names go without kind, zone and prefix
// wants: $.fleet.work[2].names[1]: "r1" stands there; each machine once
// wants: $.fleet.work[3].earliest: "tomorrow" stands there; a time as
// wants: $.fleet.work[4].latest: "2026-12-02T21:00:00Z" stands there; not before earliest, 2026-12-02T22:00:00Z
// wants: $.fleet.work[6]: says the same as work[5]; another reason makes it another request
// wants: $.fleet.work[7].kind: "router" stands there
// wants: $.fleet.work[8].for_s: is missing
(import 'fleet.libsonnet') + { fleet+: { work: [
  { reason: 'x', for_s: 60 },
  { names: ['r1'], zone: 'rabat', reason: 'x', for_s: 60 },
  { names: ['r1', 'r1'], reason: 'x', for_s: 60 },
  { names: ['r1'], reason: 'x', for_s: 60, earliest: 'tomorrow' },
  { names: ['r1'], reason: 'x', for_s: 60, earliest: '2026-12-02T22:00:00Z', latest: '2026-12-02T21:00:00Z' },
  { names: ['r1', 'r2'], reason: 'y', for_s: 60 },
  { names: ['r2', 'r1'], reason: 'y', for_s: 60 },
  { kind: 'router', reason: 'x', for_s: 60 },
  { names: ['r1'], reason: 'x' },
] } }
