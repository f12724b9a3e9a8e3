// wants: takes no marked retries
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search', retry: false }, room: { retry_rate_per_s: 1 } },
    { name: 'rest', default: true },
  ],
}
