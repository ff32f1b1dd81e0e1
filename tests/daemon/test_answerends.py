"""What is counted of the answers of targets."""

import types

from sesamespindle.daemon import answerends, measures


def test_bytes_that_are_no_answer_are_counted():
    """Guards against an engine in trouble that no metric shows."""
    counted = measures.Measures()
    forward = types.SimpleNamespace(request_id="r1", target="t-1", passport=None)
    answerends.AnswerEnds(counted).note_unreadable(forward, ValueError("status 000"))
    line = 'sesamespindle_answers_total{framing="unknown",end="broken"} 1'
    assert line in counted.text()
