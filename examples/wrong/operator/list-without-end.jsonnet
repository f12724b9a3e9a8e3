// wants: 200 MB of memory|more than 4s
{ version: std.length(std.foldl(function(a, n) a + a, std.range(1, 60), 'x')), config: '../../../deploy/counts.json' }
