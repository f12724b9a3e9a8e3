// wants: $.routes[0].limits.attempts
// wants: attempt 2 would run it twice
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'tally-submit' }, limits: { attempts: 2 } },
    { name: 'rest', default: true },
  ],
}
