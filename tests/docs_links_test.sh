#!/usr/bin/env bash
# Checks that every relative link in the documents names a file, and every
# anchor a heading. Usage: docs_links_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PYTHON'
import os
import re
import sys

LINK = re.compile(r"\]\(([^)\s]+)\)")


def anchors(path):
    """Returns the anchors of a document's headings."""
    found = set()
    for line in open(path, encoding="utf-8"):
        if line.startswith("#"):
            title = line.lstrip("#").strip().lower()
            title = re.sub(r"[^\w\- ]", "", title)
            found.add(title.replace(" ", "-"))
    return found


def problems(document):
    folder = os.path.dirname(document)
    for link in LINK.findall(open(document, encoding="utf-8").read()):
        if link.startswith(("http://", "https://", "mailto:")):
            continue
        name, _, anchor = link.partition("#")
        path = os.path.join(folder, name) if name else document
        if not os.path.exists(path):
            yield f"{document}: {link}: no such file"
        elif anchor and anchor not in anchors(path):
            yield f"{document}: {link}: no such heading"


documents = [name for name in os.listdir(".") if name.endswith(".md")]
documents += [os.path.join("docs", name)
              for name in os.listdir("docs") if name.endswith(".md")]
found = [problem for document in sorted(documents)
         for problem in problems(document)]
print("\n".join(found + [f"{len(documents)} documents, {len(found)} broken"]))
sys.exit(1 if found or len(documents) < 5 else 0)
PYTHON
