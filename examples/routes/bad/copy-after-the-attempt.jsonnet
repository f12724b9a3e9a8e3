// wants: the first attempt is over before its copy
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { copy_after_ms: 600, attempt_ms: 500 } },
    { name: 'rest', default: true },
  ],
}
