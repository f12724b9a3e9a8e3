{
  version: 1,
  config: '../../../deploy/counts.json',
  placement: { drain_ms: 3000 },
  routes: [
    { name: 'submit', match: { class: 'tally-submit' }, limits: { time_ms: 2500 } },
    { name: 'rest', default: true },
  ],
}
