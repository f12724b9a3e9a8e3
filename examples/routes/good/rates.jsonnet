{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'south', match: { tenant: 'south' }, room: { rate_per_s: 30, burst: 10 } },
    { name: 'rest', default: true },
  ],
}
