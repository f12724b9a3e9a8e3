// The fleet's operators' file with lanes: while the whole fleet sheds load, the coast's surveys and whoever shows a mark
// of the ministry keep what they are guaranteed, and everybody keeps a floor. docs/operators/lanes.md tells the keys.
(import 'fleet.jsonnet') + {
  fleet+: {
    lanes: {
      header: 'X-Account',
      slot_s: 10,
      lanes: [
        { name: 'premium', floor: 0.05, most: 0.6 },
        { name: 'partner', floor: 0.04, lend: false },
        { name: 'standard', floor: 0.04 },
      ],
      accounts: [
        { name: 'coast', lane: 'premium', tenants: ['coast'], guarantee: 0.25 },
        { name: 'ministry', lane: 'premium', marks: ['ministry-7f31', 'ministry-9c02'], guarantee: 0.15, most: 0.3 },
        { name: 'south', lane: 'partner', tenants: ['south'], guarantee: 0.1 },
      ],
      classes: {
        'tally-submit': { floor: 0.05, come_back: false },
      },
    },
  },
}
