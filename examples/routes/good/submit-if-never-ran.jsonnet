{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'submit', match: { class: 'tally-submit' }, limits: { attempts: 3, only_if_never_ran: true } },
    { name: 'rest', default: true },
  ],
}
