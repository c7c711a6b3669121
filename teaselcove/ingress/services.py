"""Services of a proxy host.

Importing this module registers them.
"""

from importlib import import_module

from teaselcove.ingress.kernel import IngressKernel, KernelSettings

SERVICE_MODULES = (
    'acceptance',
    'announcements',
    'balance',
    'catalog',
    'discovery',
    'entry_reader',
    'health',
    'hubs',
    'members',
    'queueing',
    'quotas',
    'reading',
    'retry_window',
    'server_limits',
    'stopping',
    'store_era',
    'supervision',
    'vouching',
)


def register_services() -> None:
    """Imports the modules, which register services on import."""
    for module in SERVICE_MODULES:
        import_module(f'teaselcove.ingress.{module}')


register_services()


def build(settings: KernelSettings, seed: int) -> IngressKernel:
    """Returns a kernel with all services of a host."""
    return IngressKernel(settings, seed)
