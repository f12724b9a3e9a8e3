// wants: more than 4s|200 MB of memory
{ version: std.foldl(function(a, n) (a + n) % 7, std.range(1, 300000000), 1), config: '../../../deploy/counts.json' }
