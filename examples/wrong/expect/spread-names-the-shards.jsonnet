// wants: the holders of shards 0-23 lie in fewer than 4 data centres
{ expectations: [{ name: 'four data centres', seeds: 4, for_ms: 1000, claims: [{ holds: { data_centres_least: 4 } }] }] }
