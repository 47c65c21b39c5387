"""Counts the bytecode instructions that a piece of Python code executes."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any

__all__ = ["BytecodeCounter"]


class BytecodeCounter:
    """
    Counts the instructions executed inside ``counting``.

    The count is the same in each run, on any machine and under any load. A call of a
    C function counts as one instruction, whatever the function does.
    """

    def __init__(self) -> None:
        self.instructions = 0

    @contextmanager
    def counting(self) -> Iterator[None]:
        """Count the functions called in the ``with`` body, but not the body itself."""
        sys.settrace(self._trace_call)
        try:
            yield
        finally:
            sys.settrace(None)

    def _trace_call(self, frame: FrameType, event: str, arg: Any) -> Any:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._trace_instruction

    def _trace_instruction(self, frame: FrameType, event: str, arg: Any) -> Any:
        if event == "opcode":
            self.instructions += 1
        return self._trace_instruction
