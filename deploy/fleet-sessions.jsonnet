// The fleet's operators' file with pinned sessions: a volunteer's tallies and the reports that read them stay in order at one
// co-ordinator, and move to another before its machine goes out for work. docs/operators/sessions.md tells the keys.
(import 'fleet.jsonnet') + {
  fleet+: {
    sessions: {
      header: 'X-Session',
      owner_header: 'X-Session-At',
      classes: ['tally-submit', 'trend-report'],
      slots: 2,
      slots_per_replica: 60,
      idle_s: 600,
      offer_ms: 10000,
      in_flight: 64,
      per_minute: 6000,
      sessions_most: 100000,
      premium: ['coast'],
    },
  },
}
