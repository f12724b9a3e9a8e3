// wants: a draining reader lives 1000 ms
// wants: the reader is told to drain
{
  version: 1,
  config: '../../../deploy/counts.json',
  placement: { drain_ms: 1000 },
  routes: [
    { name: 'u', match: { class: 'tally-submit' }, limits: { time_ms: 2500 } },
    { name: 'rest', default: true },
  ],
}
