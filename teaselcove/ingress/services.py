"""The services of a host on the platform.

Importing this module fills their registry.
"""

from importlib import import_module

from teaselcove.ingress.kernel import IngressKernel, KernelSettings

SERVICE_MODULES = (
    'acceptance',
    'balance',
    'catalog',
    'discovery',
    'health',
    'members',
    'queueing',
    'quotas',
    'reading',
    'retry_window',
    'vouching',
)


def fill_registry() -> None:
    """Imports the modules, which register their services."""
    for module in SERVICE_MODULES:
        import_module(f'teaselcove.ingress.{module}')


fill_registry()


def build(settings: KernelSettings, seed: int) -> IngressKernel:
    """Returns a kernel with all services of a host."""
    return IngressKernel(settings, seed)
