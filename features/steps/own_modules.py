"""Imports between the modules of this project that a program has loaded."""

import ast
import importlib.util
import marshal
from pathlib import Path

import attrs

_PACKAGE = "kumquatseam"


@attrs.frozen
class OwnModules:
    """Modules of this project and their source files.

    :param paths: source files by module name.
    """

    paths: dict[str, Path]

    @classmethod
    def find(cls, names: list[str]) -> "OwnModules":
        """Return the modules among ``names`` that belong to this project."""
        own = [name for name in names if name.split(".")[0] == _PACKAGE]
        specs = [importlib.util.find_spec(name) for name in own]
        return cls({spec.name: Path(spec.origin) for spec in specs})

    def unused(self) -> list[str]:
        """Return the modules from which no other module imports a name.

        A re-export in a package's ``__init__`` is not a use. A program's
        ``__main__`` is exempt.
        """
        imported = set()
        for name, path in self.paths.items():
            if path.name != "__init__.py":
                imported |= _imported_names(path, name)
        return [
            name
            for name, path in self.paths.items()
            if path.name not in ("__init__.py", "__main__.py")
            and not imported & self._importable_names(name)
        ]

    def code_bytes(self) -> int:
        """Return the total size of their compiled code."""
        return sum(len(marshal.dumps(_compiled(path))) for path in self.paths.values())

    def _importable_names(self, name: str) -> set[str]:
        """Return the qualified names by which others can import its definitions."""
        package = name.rpartition(".")[0]
        defined = _defined_names(self.paths[name])
        return {name} | {f"{where}.{n}" for where in (name, package) for n in defined}


def _compiled(path: Path):
    return compile(path.read_text(), str(path), "exec")


def _imported_names(path: Path, importer: str) -> set[str]:
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module != importer:
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
    return imported


def _defined_names(path: Path) -> set[str]:
    defined = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef):
            defined.add(node.name)
        elif isinstance(node, ast.Assign):
            defined |= {t.id for t in node.targets if isinstance(t, ast.Name)}
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            defined.add(node.target.id)
    return defined
