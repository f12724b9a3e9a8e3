{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'zerga', match: { class: 'trend-report', shards: [3, 4, 5] }, limits: { time_ms: 4000 } },
    { name: 'rest', default: true },
  ],
}
