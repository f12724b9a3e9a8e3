{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'report', match: { class: 'trend-report' }, limits: { copies: false } },
    { name: 'rest', default: true },
  ],
}
