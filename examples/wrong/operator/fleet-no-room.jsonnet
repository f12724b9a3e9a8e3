// wants: $.fleet: limits.memory_mb gives 192 MB; a fleet needs 256, of which 64 beside the serving
// wants: $.fleet: limits.sockets gives 1024 descriptors; a fleet needs 1152, of which 128 beside the serving
local good = import 'fleet.libsonnet';
good + { config: '../../../deploy/counts.json', fleet+: { voters: { [name]: good.fleet.voters[name] for name in ['n0', 'n1', 'n2'] } } }
