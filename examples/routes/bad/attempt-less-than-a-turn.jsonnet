// wants: limits.attempt_ms
// wants: less than the 2 turns
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { attempt_ms: 3 } },
    { name: 'rest', default: true },
  ],
}
