// wants: $.routes[0].limits.copies
// wants: would run it twice
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'tally-submit' }, limits: { copies: true } },
    { name: 'rest', default: true },
  ],
}
