import runpy


def test_the_embedding_example_spreads_all_slots(capsys):
    runpy.run_path("examples/embedded.py", run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    owned = [line for line in lines if " owns " in line]
    assert len(owned) == 4
    assert sum(line.count(",") + 1 for line in owned) == 16
