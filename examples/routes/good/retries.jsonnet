{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'retries', match: { retry: true }, limits: { attempts: 1 }, room: { retry_rate_per_s: 2 } },
    { name: 'rest', default: true },
  ],
}
