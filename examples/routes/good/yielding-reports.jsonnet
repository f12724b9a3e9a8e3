{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'report', match: { class: 'trend-report' }, limits: { yields: true, come_back_ms: 400 } },
    { name: 'rest', default: true },
  ],
}
