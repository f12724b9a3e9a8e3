// wants: can't fit in 1000 ms
// wants: attempt 3 would go
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { attempts: 3, attempt_ms: 500, time_ms: 1000 } },
    { name: 'rest', default: true },
  ],
}
