{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, limits: { copies: true, copy_after_ms: 400 } },
    { name: 'rest', default: true },
  ],
}
