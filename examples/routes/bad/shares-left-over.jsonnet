// wants: shares of the budget come to 0.70
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { budget_share: 0.4 } },
    { name: 't', match: { class: 'trend-report' }, limits: { budget_share: 0.2 } },
    { name: 'u', match: { class: 'tally-submit' }, limits: { budget_share: 0.1 } },
  ],
}
