// wants: max stack frames exceeded
local f(x) = f(x + 1) + 1; { version: f(1), config: '../../../deploy/counts.json' }
