// wants: $.expectations[0].load: is missing
{ expectations: [{ name: 'x', seeds: 4, for_ms: 1000, claims: [{ further: { most_per_part: 0 } }] }] }
