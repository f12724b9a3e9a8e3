// wants: $.expectations[0].claims: length 0
{ expectations: [{ name: 'x', seeds: 4, for_ms: 1000, claims: [] }] }
